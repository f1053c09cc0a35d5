package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// connState is what a connection does.
type connState int

const (
	stateHead     connState = iota // Waits for a header section, or reads one.
	stateBody                      // A handler has the request, and has not passed it on.
	statePassedOn                  // The request may run; it loses nothing.
	stateEvicted                   // Its memory or its place is needed.
)

// The answers that the package writes itself, to requests whose header section is not complete.
const (
	refusalUnavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalHeadBytes   = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// longAgo is a deadline that wakes a blocked read.
var longAgo = time.Unix(1, 0)

// Conn is a connection of a caller. The fields below listener are guarded by the mutex of the
// listener.
type Conn struct {
	net.Conn
	listener *Listener

	state connState
	// handling says that a handler has run since the last header section began, so that Read
	// writes no answer.
	handling bool
	// refusal is the answer of an evicted connection whose header section is not complete.
	refusal string
	refused bool // The refusal was written, or none is due.
	closed  bool
	// since is when the header section began, or the wait for it.
	since time.Time
	// headBytes, headLines count the header section, headLimit is its largest size.
	headBytes, headLines, headLimit int
	// recent and before count the line ends of the last bytes read, readBufferBytes or more
	// together: those of the next header section may be among them.
	recent, before readCount
	// headerCharge and bodyCharge are what the request in progress holds.
	headerCharge, bodyCharge int
	// counted is the part of the charge that the budget counts.
	counted int
	// writeDeadline is the one that the handler has set.
	writeDeadline time.Time
}

// readCount counts what was read.
type readCount struct {
	bytes, lines int
}

// beginHead prepares for the next header section. The caller holds mu.
func (c *Conn) beginHead(now time.Time) {
	c.listener.release(c)
	c.handling = false
	c.headBytes, c.headerCharge, c.bodyCharge = 0, 0, 0
	c.headLines = c.recent.lines + c.before.lines
	c.since = now
	if c.state != stateEvicted {
		c.state = stateHead
	}
}

// evict ends the connection: a blocked or later Read fails. The caller holds mu.
func (c *Conn) evict(refusal string) {
	c.state = stateEvicted
	c.refusal = refusal
	_ = c.Conn.SetReadDeadline(longAgo)
	c.listener.released.Broadcast() // It may wait for room itself.
	time.AfterFunc(evictionTime, c.closeEvicted)
}

// closeEvicted closes an evicted connection that still holds memory, such as one whose answer
// cannot be written.
func (c *Conn) closeEvicted() {
	c.listener.mu.Lock()
	closed := c.closed
	c.listener.mu.Unlock()
	if !closed {
		_ = c.Conn.Close()
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.refuse(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received(p[:n])
	}
	if refused := c.refuse(); refused != nil {
		return 0, refused
	}
	return n, err
}

// received counts bytes that were read.
func (c *Conn) received(p []byte) {
	l := c.listener
	tail := p[max(len(p)-readBufferBytes, 0):]
	lines := bytes.Count(tail, []byte("\n"))
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.recent.bytes+len(tail) > readBufferBytes {
		c.before, c.recent = c.recent, readCount{}
	}
	c.recent.bytes += len(tail)
	c.recent.lines += lines
	if c.state != stateHead {
		return
	}
	if c.headBytes == 0 {
		c.since = time.Now()
		c.headLimit = l.config.MaxHeadBytes()
		if c.headLimit <= 0 {
			c.headLimit = DefaultHeadBytes
		}
	}
	c.headBytes += len(p)
	c.headLines += lines
	if c.headBytes > c.headLimit+readBufferBytes {
		l.config.Report.count(LimitHeadBytes)
		c.evict(refusalHeadBytes)
		return
	}
	_ = l.setCharge(c, c.headBytes+c.headLines*LineBytes) // An eviction shows in the state.
}

// refuse returns an error if the connection was evicted. If its header section has begun and is not
// complete, it writes the refusal first: only the goroutine that reads a header section does so.
func (c *Conn) refuse() error {
	l := c.listener
	l.mu.Lock()
	if c.state != stateEvicted {
		l.mu.Unlock()
		return nil
	}
	due := !c.handling && !c.refused && c.headBytes > 0
	if due {
		c.refused = true
	}
	l.mu.Unlock()
	if due {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = io.WriteString(c.Conn, c.refusal)
	}
	// net/http takes this for a lost connection, and writes nothing.
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: ErrMemory}
}

// SetReadDeadline implements net.Conn. The deadline of an evicted connection stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == stateEvicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetWriteDeadline implements net.Conn. The deadline replaces writeTimeout until it is removed.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. Each piece has to be taken within writeTimeout, or all of them until the
// deadline that the handler has set.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.listener.mu.Lock()
	refused, deadline := c.refused, c.writeDeadline
	c.listener.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	for written < len(p) {
		limit := time.Now().Add(writeTimeout)
		if !deadline.IsZero() {
			limit = deadline
		}
		_ = c.Conn.SetWriteDeadline(limit)
		var n int
		n, err = c.Conn.Write(p[written:min(written+writeBytes, len(p))])
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.listener.config.Report.count(LimitWriteTime)
			}
			return written, err
		}
	}
	return written, nil
}

// CloseWrite shuts down the sending side; net/http looks for it.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A connection with a refusal is read for a while before it is closed, as
// a reset would discard the refusal.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	first := !c.closed
	c.closed = true
	l.release(c)
	delete(l.conns, c)
	linger := first && c.refused && l.lingering < maxLingering
	if linger {
		l.lingering++
	}
	l.mu.Unlock()
	if linger {
		go c.linger()
		return nil
	}
	return c.Conn.Close()
}

// linger discards what the caller still sends, and closes the connection.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	_ = c.Conn.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.lingering--
}

// BeginRequest charges the header of a request. It returns ErrMemory for one that is to be refused.
// All methods accept a nil connection, which has no limits.
func (c *Conn) BeginRequest(header http.Header) error {
	if c == nil {
		return nil
	}
	charge := 0
	for name, values := range header {
		for _, value := range values {
			charge += len(name) + len(value) + LineBytes
		}
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.headerCharge = charge * c.listener.config.HeaderCopies
	return c.listener.setCharge(c, c.headerCharge)
}

// HoldBody charges the bytes that the request's body takes in memory. It returns ErrMemory for a
// request that is to be refused.
func (c *Conn) HoldBody(n int) error {
	if c == nil {
		return nil
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.bodyCharge = n
	return c.listener.setCharge(c, c.headerCharge+n)
}

// PassOn records that the request may run from now on, so that it loses nothing. It returns ErrMemory
// for one that is to be refused instead.
func (c *Conn) PassOn() error {
	if c == nil {
		return nil
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == stateEvicted {
		return ErrMemory
	}
	c.state = statePassedOn
	return nil
}

// dropBody releases the charge of a body whose reading has failed. It reports whether that was for
// want of memory.
func (c *Conn) dropBody() bool {
	if c == nil {
		return false
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.bodyCharge = 0
	if left := max(c.headerCharge-uncountedBytes, 0); left < c.counted {
		l.total -= c.counted - left
		c.counted = left
		l.released.Broadcast()
	}
	return c.state == stateEvicted
}
