package httpcall

import (
	"net/http/httptrace"
	"sync/atomic"
)

// sendProgress follows a request through the transport.
type sendProgress struct {
	asked atomic.Bool // The transport looked for a connection.
	got   atomic.Bool // It got one.
}

func (p *sendProgress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.got.Store(true) },
	}
}

// sent reports whether bytes may have left. A transport that tells nothing
// counts as one that sent.
func (p *sendProgress) sent() bool {
	return p.got.Load() || !p.asked.Load()
}
