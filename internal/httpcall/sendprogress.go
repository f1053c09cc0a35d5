package httpcall

import (
	"net/http/httptrace"
	"sync/atomic"
)

// sendProgress records whether the transport requested and obtained a
// connection.
type sendProgress struct {
	connRequested atomic.Bool
	connObtained  atomic.Bool
}

func (p *sendProgress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.connObtained.Store(true) },
	}
}

// maybeSent reports whether bytes may have been sent. A transport that calls no
// trace hook counts as one that sent.
func (p *sendProgress) maybeSent() bool {
	return p.connObtained.Load() || !p.connRequested.Load()
}
