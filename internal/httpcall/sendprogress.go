package httpcall

import (
	"net/http/httptrace"
	"sync/atomic"
)

// sendProgress records whether the transport requested a connection, which one it
// got, and whether it wrote to it.
type sendProgress struct {
	connRequested atomic.Bool
	connReused    atomic.Bool
	sent          atomic.Bool
}

func (p *sendProgress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) {
			p.connRequested.Store(true)
			p.connReused.Store(false)
		},
		GotConn: func(info httptrace.GotConnInfo) {
			p.connReused.Store(info.Reused)
			if conn, ok := info.Conn.(*guardedConn); ok {
				conn.claim(p)
				return
			}
			p.sent.Store(true)
		},
	}
}

// maybeSent reports whether bytes may have been sent. A transport that calls no
// trace hook, or has connections of its own, counts as one that sent.
func (p *sendProgress) maybeSent() bool {
	return p.sent.Load() || !p.connRequested.Load()
}

// lostIdleConn reports whether the request got a kept-alive connection and could
// not be written to it.
func (p *sendProgress) lostIdleConn() bool {
	return p.connReused.Load() && !p.maybeSent()
}
