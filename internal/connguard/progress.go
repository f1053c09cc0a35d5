package connguard

import (
	"net/http/httptrace"
	"sync/atomic"
)

// Progress records whether the transport requested a connection for a request, which one it
// got, and whether it wrote to it. It serves one request.
type Progress struct {
	connRequested atomic.Bool
	connReused    atomic.Bool
	sent          atomic.Bool
	conn          atomic.Pointer[Conn] // Nil for a connection that is not guarded.
}

// Trace returns the hooks with which the transport reports to the progress.
func (p *Progress) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) {
			p.connRequested.Store(true)
			p.connReused.Store(false)
		},
		GotConn: func(info httptrace.GotConnInfo) {
			p.connReused.Store(info.Reused)
			if conn, ok := info.Conn.(*Conn); ok {
				p.conn.Store(conn)
				conn.claim(p)
				return
			}
			p.sent.Store(true)
		},
	}
}

// Sent reports whether bytes may have been sent, by a transport that calls the trace hooks.
func (p *Progress) Sent() bool {
	return p.sent.Load()
}

// MaybeSent reports whether bytes may have been sent. A transport that calls no
// trace hook, or has connections of its own, counts as one that sent.
func (p *Progress) MaybeSent() bool {
	return p.sent.Load() || !p.connRequested.Load()
}

// LostIdleConn reports whether the request got a kept-alive connection and could
// not be written to it.
func (p *Progress) LostIdleConn() bool {
	return p.connReused.Load() && !p.MaybeSent()
}

// Retire keeps the request's connection from carrying another request, also if net/http has
// put it back already: it does so before it returns a response without a body.
func (p *Progress) Retire() {
	if conn := p.conn.Load(); conn != nil {
		conn.retire()
	}
}
