package fakes

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// defaultEndlessBytes and maxEndlessTime bound what a connection carries if its peer
	// fails to close it; maxEndlessConns bounds the connections of a server.
	defaultEndlessBytes = 32 << 20
	maxEndlessTime      = 30 * time.Second
	maxEndlessConns     = 64
	// endlessBatchBytes is the least size of a write without a pause.
	endlessBatchBytes = 16 << 10
)

// EndlessAnswer describes what an EndlessServer sends.
type EndlessAnswer struct {
	// Opening returns what is sent once, after a connection's first request was
	// read. It may contain a part of a response or a complete one; nil sends nothing.
	Opening func(*http.Request) string
	// Piece returns what is sent next, without end: i counts from 0.
	Piece func(i int) string
	// Pause is the time between two pieces; with 0, they are sent as fast as the
	// connection carries them.
	Pause time.Duration
	// MaxBytes bounds what a connection carries; 0 is defaultEndlessBytes.
	MaxBytes int64
}

func (a EndlessAnswer) maxBytes() int64 {
	if a.MaxBytes == 0 {
		return defaultEndlessBytes
	}
	return a.MaxBytes
}

// Repeat returns an EndlessAnswer.Piece that is always the same.
func Repeat(piece string) func(int) string {
	return func(int) string { return piece }
}

// EndlessConn describes a connection to an EndlessServer that has ended.
type EndlessConn struct {
	// Requests is the number of requests that arrived on it.
	Requests int
	// Sent is the number of bytes that were passed to the kernel.
	Sent int64
	// PeerClosed is false if the connection ended at a bound of the server, or with
	// the server.
	PeerClosed bool
}

// EndlessServer answers the first request on each connection with bytes that never
// end, and goes on until its peer closes the connection. It is bounded in bytes,
// connections and time, so that a test of a peer that never does fails instead.
type EndlessServer struct {
	listener net.Listener
	answer   EndlessAnswer
	ended    chan EndlessConn
	closing  chan struct{}
	running  sync.WaitGroup
	mu       sync.Mutex
	requests []*http.Request
}

// StartEndlessServer starts a server on the loopback interface.
func StartEndlessServer(answer EndlessAnswer) (*EndlessServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Listening does not block.
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{
		listener: listener,
		answer:   answer,
		ended:    make(chan EndlessConn, maxEndlessConns),
		closing:  make(chan struct{}),
	}
	s.running.Go(s.accept)
	return s, nil
}

// Address returns the server's IP:port.
func (s *EndlessServer) Address() string {
	return s.listener.Addr().String()
}

// Ended returns a channel that receives each connection as it ends.
func (s *EndlessServer) Ended() <-chan EndlessConn {
	return s.ended
}

// Requests returns the requests that have arrived, without their bodies.
func (s *EndlessServer) Requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...)
}

// Close ends all connections and waits until they have ended.
func (s *EndlessServer) Close() {
	close(s.closing)
	_ = s.listener.Close()
	s.running.Wait()
}

func (s *EndlessServer) accept() {
	for range maxEndlessConns {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.ended <- s.serve(conn) })
	}
	_ = s.listener.Close()
}

// serve serves one connection until it ends. It reads all the time, so that it
// notices that the peer closes.
func (s *EndlessServer) serve(conn net.Conn) EndlessConn {
	_ = conn.SetDeadline(time.Now().Add(maxEndlessTime))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-s.closing:
		case <-stop:
		}
		_ = conn.Close()
	}()
	var result EndlessConn
	var sending sync.WaitGroup
	exhausted := false
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			result.PeerClosed = !isTimeout(err)
			break
		}
		s.mu.Lock()
		s.requests = append(s.requests, request)
		s.mu.Unlock()
		result.Requests++
		if result.Requests == 1 {
			sending.Go(func() {
				result.Sent = s.send(conn, request, stop)
				if exhausted = result.Sent >= s.answer.maxBytes(); exhausted {
					_ = conn.Close()
				}
			})
		}
	}
	close(stop)
	<-stopped
	sending.Wait()
	select {
	case <-s.closing:
		result.PeerClosed = false
	default:
		result.PeerClosed = result.PeerClosed && !exhausted
	}
	return result
}

// send sends the answer until the connection fails, stop is closed, or
// the answer's MaxBytes are sent. It returns the number of bytes sent.
func (s *EndlessServer) send(conn net.Conn, request *http.Request, stop <-chan struct{}) int64 {
	sent := int64(0)
	write := func(data string) bool {
		n, err := io.WriteString(conn, data)
		sent += int64(n)
		return err == nil && sent < s.answer.maxBytes()
	}
	if s.answer.Opening != nil && !write(s.answer.Opening(request)) {
		return sent
	}
	for i := 0; ; {
		var batch strings.Builder
		batch.WriteString(s.answer.Piece(i))
		for i++; s.answer.Pause == 0 && batch.Len() < endlessBatchBytes; i++ {
			batch.WriteString(s.answer.Piece(i))
		}
		if !write(batch.String()) {
			return sent
		}
		select {
		case <-stop:
			return sent
		case <-time.After(s.answer.Pause):
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
