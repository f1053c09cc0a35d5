// Package ingress bounds what callers outside our control make a process hold: the bytes and lines
// of header sections, the bodies of requests, the number of connections, and the time of a write.
// It wraps the listener of a net/http server, whose ConnState hook tells it when a header section
// is complete.
package ingress
