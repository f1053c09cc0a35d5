package connguard

import (
	"errors"
	"io"
)

// ConnectionEnd is how the connection of a cancelled request ended.
type ConnectionEnd string

// The ends.
const (
	// EndReset says that what the server has not received yet is dropped, and that it can tell the
	// request from a whole one.
	EndReset ConnectionEnd = "reset"
	// EndInOrder says that the server gets all that was written, then the end of the stream: the
	// connection cannot be reset.
	EndInOrder ConnectionEnd = "in_order"
)

// lingerer is a connection that can be reset, as *net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

// abort makes the end of a connection a reset, which Close sends then.
func (c *Conn) abort() ConnectionEnd {
	if tcp, ok := c.Conn.(lingerer); ok && tcp.SetLinger(0) == nil {
		return EndReset
	}
	return EndInOrder
}

// OnConnectionEnd sets a function that is called when the connection of the request is closed because
// the request was cancelled before its response was read whole. It is called at most once for an
// attempt of the transport, and must not block. It is set before the request is sent.
func (p *Progress) OnConnectionEnd(f func(ConnectionEnd)) {
	p.onConnectionEnd = f
}

// isCancelled reports whether the request was cancelled, or its time is over.
func (p *Progress) isCancelled() bool {
	return p.contextErr != nil && p.contextErr() != nil
}

// EndExchange records that the server is done with the request: its response was read whole, or says so.
func (p *Progress) EndExchange() {
	if conn := p.conn.Load(); conn != nil {
		conn.endExchange(p)
	}
}

// exchangeBody is the body of a response, with which its exchange ends.
type exchangeBody struct {
	io.ReadCloser
	progress *Progress
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.progress.EndExchange()
	}
	return n, err
}
