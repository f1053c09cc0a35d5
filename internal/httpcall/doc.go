// Package httpcall provides what the HTTP clients of the platform and of the
// endpoints share: a client without proxies and redirects, bounded bodies, the
// error document, and whether a failed request may have reached the server.
package httpcall
