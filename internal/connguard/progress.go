package connguard

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInterimTooLong reports interim responses that take as much as a head may.
var ErrInterimTooLong = eris.New("interim responses are too long")

// Progress records whether the transport requested a connection for a request, which one it
// got, and whether it wrote to it. It serves one attempt of a request; the zero value serves a
// request whose responses are not told apart by an ID.
type Progress struct {
	// id and exchanges are those of the request, empty and nil for none.
	id        string
	exchanges *Exchanges
	// bodyBytes is the length of the request's body, and checked says that a Transport will check
	// the response: Transport sets both.
	bodyBytes int64
	checked   bool
	// contextErr is that of the request's context, nil if no Transport sends the request.
	contextErr      func() error
	onConnectionEnd func(ConnectionEnd) // Nil for none.

	connRequested atomic.Bool
	connReused    atomic.Bool
	sent          atomic.Bool
	conn          atomic.Pointer[Conn] // Nil for a connection that is not guarded.
	metAgain      atomic.Bool
	use           atomic.Int64
	firstByteAt   atomic.Pointer[time.Time]
	interimBytes  atomic.Int64
	// brokenInterim is the error of an interim response. net/http may return that of a write instead,
	// which fails as the connection is closed for it.
	brokenInterim atomic.Pointer[error]
}

// NewProgress returns the progress of an attempt of a request whose responses carry id. exchanges
// is shared by all attempts of the request.
func NewProgress(id string, exchanges *Exchanges) *Progress {
	return &Progress{id: id, exchanges: exchanges}
}

// progressKey is the key of a request's progress in its context.
type progressKey struct{}

// WithProgress returns a context for a request that a Transport sends: its progress is p.
func WithProgress(ctx context.Context, p *Progress) context.Context {
	return context.WithValue(httptrace.WithClientTrace(ctx, p.Trace()), progressKey{}, p)
}

// wasWrittenOn is called with the connection's mutex held, as is recordWrite.
func (p *Progress) wasWrittenOn(c *Conn) bool {
	return (p.exchanges != nil && p.exchanges.contains(c)) || (p.id != "" && c.recent.contains(p.id))
}

func (p *Progress) recordWrite(c *Conn) {
	if p.exchanges != nil {
		p.exchanges.add(c)
	}
	if p.id != "" {
		c.recent.add(p.id)
	}
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
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			return p.checkInterim(http.Header(header))
		},
		GotFirstResponseByte: func() {
			now := time.Now()
			p.firstByteAt.Store(&now)
		},
	}
}

// checkInterim returns an error, which ends the connection, for an interim response with a broken
// head and for too many of them.
func (p *Progress) checkInterim(header http.Header) error {
	// The size without blanks and the reason phrase serves connections that Wrap did not open.
	size := p.interimBytes.Add(minHeadBytes + fieldBytes(header))
	if conn := p.conn.Load(); conn != nil {
		size = conn.bytesRead()
	}
	if size > maxInterimBytes {
		return ErrInterimTooLong
	}
	err := checkFieldNames(header)
	if err != nil {
		p.brokenInterim.Store(&err)
	}
	return err
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

// Connection returns the number of the guarded connection that the request got last, which no
// other connection of the process has, and how many requests it has carried with this one. Both
// are 0 if there is none; use is 0 if the request was not written.
func (p *Progress) Connection() (number uint64, use int64) {
	if conn := p.conn.Load(); conn != nil {
		number = conn.number
	}
	return number, p.use.Load()
}

// FirstByteAt returns when the response began to arrive, the zero time if it did not.
func (p *Progress) FirstByteAt() time.Time {
	if at := p.firstByteAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// MetAgain reports whether the request got a connection that had carried it, or another request
// with its ID, before. It was not written there.
func (p *Progress) MetAgain() bool {
	return p.metAgain.Load()
}

// accept lets the request's connection carry another request: the response was checked.
func (p *Progress) accept() {
	if conn := p.conn.Load(); conn != nil {
		conn.accept(p)
	}
}

// Retire keeps the request's connection from carrying another request, also if net/http has
// put it back already: it does so before it returns a response without a body.
func (p *Progress) Retire() {
	if conn := p.conn.Load(); conn != nil {
		conn.retire()
	}
}
