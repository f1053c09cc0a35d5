// Package serving serves fakes over HTTP.
package serving
