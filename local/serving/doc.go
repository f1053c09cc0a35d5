// Package serving serves stand-ins over HTTP.
package serving
