package httpcall

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrNotIdle reports a connection that the server closed, or sent bytes on, before
// the request was written.
var ErrNotIdle = eris.New("server closed the connection or sent bytes before the request")

// guardedConn is a connection on which bytes count as a response only after a
// request was written. net/http takes bytes that follow a complete response for
// the response to the next request if that request gets the connection before
// they are noticed.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex // Guards the fields below.
	changed *sync.Cond // Signals changes of reading and closed.
	reading bool       // A Read waits for bytes.
	closed  bool
	// claimant is the request that got the connection and wrote nothing yet.
	claimant *sendProgress
	notIdle  bool // The connection carries no more requests.
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// guardConns returns dial with guarded connections.
func guardConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newGuardedConn(conn), nil
	}
}

func newGuardedConn(conn net.Conn) *guardedConn {
	c := &guardedConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// claim registers the request that is about to be written. It blocks until the
// transport has used up all that it read before: it then waits for more, or
// closes the connection because of bytes that belong to no request.
func (c *guardedConn) claim(claimant *sendProgress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
	c.claimant = claimant
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.claimant == nil {
		return n, err
	}
	c.notIdle = true
	return 0, ErrNotIdle
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// beginWrite reports a request that must not be written. The request then counts as
// not sent.
func (c *guardedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimant != nil && (c.closed || hasUnread(c.Conn)) {
		c.notIdle = true
	}
	if c.notIdle {
		return ErrNotIdle
	}
	if c.claimant != nil {
		c.claimant.sent.Store(true)
		c.claimant = nil
	}
	return nil
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
