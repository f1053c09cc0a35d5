package connguard

import (
	"errors"
	"io"
)

// ConnectionEnd is how the connection of a cancelled request ended.
type ConnectionEnd string

// EndInOrder says that the server gets all that was written, then the end of the stream.
const EndInOrder ConnectionEnd = "in_order"

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

// endExchange records that the response was read whole.
func (p *Progress) endExchange() {
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
		b.progress.endExchange()
	}
	return n, err
}
