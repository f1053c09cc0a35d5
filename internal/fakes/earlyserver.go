package fakes

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEarlyTime bounds a connection to an EarlyServer whose peer fails to end it.
	maxEarlyTime = 30 * time.Second
	// earlyBufferBytes is the size of the buffers of a connection that is not read, which then take
	// far less than a megabyte of an upload.
	earlyBufferBytes = 8 << 10
)

// EarlyEnd is what an EarlyServer does with a connection after its answer.
type EarlyEnd int

// The ends of a connection.
const (
	// EarlyOpen reads the rest of the upload and leaves the closing to the peer.
	EarlyOpen EarlyEnd = iota
	// EarlyFinished ends the sending side in order and reads nothing more.
	EarlyFinished
	// EarlyReset resets the connection.
	EarlyReset
)

// EarlyServer answers a request after its head, while the body is still being written. It serves
// one request on each connection.
type EarlyServer struct {
	listener net.Listener
	end      EarlyEnd
	answer   func(*http.Request) string
	running  sync.WaitGroup
	closing  chan struct{}
	conns    atomic.Int64
	// resets has, by the peer's address, a channel that is closed once the connection was reset.
	resets sync.Map
}

// StartEarlyServer starts a server on the loopback interface.
func StartEarlyServer(end EarlyEnd, answer func(*http.Request) string) (*EarlyServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Listening does not block.
	if err != nil {
		return nil, err
	}
	s := &EarlyServer{listener: listener, end: end, answer: answer, closing: make(chan struct{})}
	s.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			s.running.Go(func() { s.serve(conn) })
		}
	})
	return s, nil
}

// Address returns the server's IP:port.
func (s *EarlyServer) Address() string {
	return s.listener.Addr().String()
}

// Conns returns the number of connections so far.
func (s *EarlyServer) Conns() int64 {
	return s.conns.Load()
}

// Close ends all connections and waits until they have ended.
func (s *EarlyServer) Close() {
	close(s.closing)
	_ = s.listener.Close()
	s.running.Wait()
}

func (s *EarlyServer) serve(conn net.Conn) {
	ended := make(chan struct{})
	s.running.Go(func() {
		select {
		case <-s.closing:
		case <-ended:
		}
		_ = conn.Close()
	})
	defer close(ended)
	_ = conn.SetDeadline(time.Now().Add(maxEarlyTime))
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 1))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, s.answer(request))
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	switch s.end {
	case EarlyReset:
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
		close(s.resetOf(conn.RemoteAddr()))
	case EarlyFinished:
		_ = tcp.SetReadBuffer(earlyBufferBytes)
		_ = tcp.CloseWrite()
		<-s.closing
	case EarlyOpen:
		_, _ = io.Copy(io.Discard, conn)
	}
}

func (s *EarlyServer) resetOf(peer net.Addr) chan struct{} {
	reset, _ := s.resets.LoadOrStore(peer.String(), make(chan struct{}))
	return reset.(chan struct{}) //nolint:forcetypeassert // The map holds nothing else.
}

// Dial opens a connection to the server on which an upload is not over when the connection ends.
//
// The kernel reports a reset once, to the first call that meets it: here that is a write, which
// returns only after the next read or the end of the connection. Without this order a test meets it
// in some tries only. Connections to other servers are left as they are.
func (s *EarlyServer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil || address != s.Address() {
		return conn, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && s.end != EarlyReset {
		return conn, tcp.SetWriteBuffer(earlyBufferBytes)
	}
	return &resetWriteConn{
		Conn: conn, reset: s.resetOf(conn.LocalAddr()),
		reported: make(chan struct{}), released: make(chan struct{}),
	}, nil
}

// resetWriteConn is the client's side of a connection that the server resets.
type resetWriteConn struct {
	net.Conn
	// reset, reported and released are closed when the server has reset the connection, when a
	// write got the error, and when that write may return.
	reset, reported, released chan struct{}
	releasing                 sync.Once
	// Each is used by one goroutine only.
	read, written bool
}

// Read implements net.Conn.
func (c *resetWriteConn) Read(p []byte) (int, error) {
	if c.read {
		select {
		case <-c.reported:
		case <-c.released:
		}
	}
	c.read = true
	return c.Conn.Read(p)
}

// Write implements net.Conn. The first write carries the head of the request.
func (c *resetWriteConn) Write(p []byte) (int, error) {
	if !c.written {
		c.written = true
		return c.Conn.Write(p)
	}
	select {
	case <-c.reset:
	case <-c.released:
	}
	for {
		// The reset may still be on its way.
		if n, err := c.Conn.Write(p); err != nil {
			close(c.reported)
			<-c.released
			return n, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *resetWriteConn) SetWriteDeadline(time.Time) error {
	c.release()
	return nil
}

// Close implements net.Conn.
func (c *resetWriteConn) Close() error {
	c.release()
	return c.Conn.Close()
}

func (c *resetWriteConn) release() {
	c.releasing.Do(func() { close(c.released) })
}
