package connguard

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotIdle reports a connection that the server closed, or sent bytes on, before
// the request was written.
var ErrNotIdle = eris.New("server closed the connection or sent bytes before the request")

// Conn is a connection on which bytes count as a response only after a request was
// written, and whose end counts as that of a response only if the request was written whole.
type Conn struct {
	net.Conn
	// number tells the connections of the process apart, from 1.
	number uint64
	// followed says that only the end of responses is guarded, see Follow.
	followed bool

	mu      sync.Mutex // Guards the fields below.
	changed *sync.Cond // Signals changes of reading, writing, closed and unchecked.
	reading bool       // A Read waits for bytes.
	writing bool       // A Write is under way.
	closed  bool
	// claimant is the request that got the connection and wrote nothing yet.
	claimant *Progress
	// unchecked is the request whose response is still to be checked. net/http gives the connection
	// away before that if the response has no body.
	unchecked *Progress
	// exchange is the request that was written last, until its response was read whole.
	exchange *Progress

	notIdle  bool // The connection carries no more requests.
	requests int  // Requests that were written, the current one included.
	recent   recentIDs

	// Of the newest request: what was written of it, the error that ended the writing, and the bytes
	// read since it began.
	upload        upload
	writeErr      error
	responseBytes int64
	endErr        error // What endOfResponse returned, nil before.
}

// lastNumber is the number of the newest connection of the process.
var lastNumber atomic.Uint64

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Wrap returns dial with guarded connections.
func Wrap(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(conn), nil
	}
}

// Follow returns dial with connections that guard the end of responses only: a request isn't kept
// from connections on which bytes arrived before it.
func Follow(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		followed := newConn(conn)
		followed.followed = true
		return followed, nil
	}
}

func newConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, number: lastNumber.Add(1)}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// claim registers the request that is about to be written. It blocks until the
// transport has used up all that it read before: it then waits for more, or
// closes the connection because of bytes that belong to no request. It blocks also until the
// response before was checked, which takes no I/O. A request that was
// written on the connection before, or that has the ID of a recent one, is not written.
func (c *Conn) claim(claimant *Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.followed {
		c.claimant = claimant
		return
	}
	for (!c.reading || c.unchecked != nil) && !c.closed {
		c.changed.Wait()
	}
	c.claimant = claimant
	if claimant.wasWrittenOn(c) {
		claimant.metAgain.Store(true)
		c.notIdle = true
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.claimant != nil && !c.followed {
		c.notIdle = true
		return 0, ErrNotIdle
	}
	c.responseBytes += int64(n)
	if errors.Is(err, io.EOF) && c.requests > 0 && c.responseBytes > 0 {
		if c.endErr == nil {
			c.endErr = c.endOfResponse()
		}
		return n, c.endErr
	}
	return n, err
}

// endOfResponse returns io.EOF for a connection that ended in order after the request was written
// whole, else *BrokenResponseError. The end of the stream alone does not tell: the kernel reports a
// reset once, and if that was to a write, reads find a plain end. It is called with mu held.
func (c *Conn) endOfResponse() error {
	if c.writing {
		// A write that waits for the peer ends; one that has written everything succeeds.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	for c.writing {
		c.changed.Wait()
	}
	if c.writeErr == nil && c.upload.complete() {
		return io.EOF
	}
	return newBrokenResponse(BrokenEnd, "connection ended before the request was written whole", c.writeErr)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.endWrite(p[:n], err)
	return n, err
}

// beginWrite reports a request that must not be written. The request then counts as
// not sent.
func (c *Conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimant != nil && !c.followed && (c.closed || hasUnread(c.Conn)) {
		c.notIdle = true
	}
	if c.notIdle {
		return ErrNotIdle
	}
	if c.claimant != nil {
		c.requests++
		c.upload = upload{bodyLeft: c.claimant.bodyBytes}
		c.writeErr, c.endErr, c.responseBytes = nil, nil, 0
		if c.claimant.checked && !c.followed {
			c.unchecked = c.claimant
		}
		c.claimant.recordWrite(c)
		c.exchange = c.claimant
		c.claimant.use.Store(int64(c.requests))
		c.claimant.sent.Store(true)
		c.claimant = nil
	}
	c.writing = true
	return nil
}

// endWrite records what a write wrote and how it ended.
func (c *Conn) endWrite(written []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.advance(written)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // Only endOfResponse sets a deadline.
		c.writeErr = err
	}
	c.writing = false
	c.changed.Broadcast()
}

// accept lets other requests claim the connection after the response to p.
func (c *Conn) accept(p *Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unchecked == p {
		c.unchecked = nil
		c.changed.Broadcast()
	}
}

// bytesRead returns how many bytes were read since the newest request was written.
func (c *Conn) bytesRead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseBytes
}

// retire closes the connection. A request that gets it later is not written.
func (c *Conn) retire() {
	c.mu.Lock()
	c.notIdle = true
	c.mu.Unlock()
	_ = c.Close()
}

// endExchange records that the response to p was read whole.
func (c *Conn) endExchange(p *Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == p {
		c.exchange = nil
	}
}

// Close implements net.Conn. A connection whose request was cancelled is reset.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	exchange := c.exchange
	c.exchange = nil
	c.changed.Broadcast()
	c.mu.Unlock()
	if exchange != nil && exchange.isCancelled() {
		// After an end in order the kernel still delivers what was written: a server that stands still
		// gets the request later and cannot tell it from one whose caller waits.
		end := c.abort()
		if exchange.onConnectionEnd != nil {
			exchange.onConnectionEnd(end)
		}
	}
	return c.Conn.Close()
}
