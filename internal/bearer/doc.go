// Package bearer reads and writes the bearer token of an HTTP request.
package bearer
