package wire

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/core"
)

const (
	keepAliveInterval   = 5 * time.Second
	writeTimeout        = 5 * time.Second
	acceptBacklog       = 1024
	streamHeaderTimeout = 5 * time.Second
)

// StreamHandler serves one stream that the peer opened. It runs in its own
// goroutine; the stream is closed when it returns.
type StreamHandler func(ctx context.Context, session *Session, stream *Stream, header *StreamHeader)

// Session is an authenticated connection to another process. Both sides may
// open streams.
type Session struct {
	Peer        core.InstanceID
	Incarnation uint64

	faults *ProtocolFaults
	mux    *yamux.Session
	ctx    context.Context
	cancel context.CancelFunc
}

// Dialer opens connections. Callers replace it to shape links.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial opens a session to addr. It blocks until the handshake ends and returns
// *DialError or *HandshakeError if it fails. handler serves the streams opened by
// the peer.
func Dial(ctx context.Context, dial Dialer, addr string, self Identity, handler StreamHandler) (*Session, error) {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Cause: err}
	}
	return newSession(conn, self, true, handler)
}

func newSession(conn net.Conn, self Identity, dialler bool, handler StreamHandler) (*Session, error) {
	peerHello, err := handshake(conn, self, dialler)
	if err != nil {
		self.Faults.countSession()
		conn.Close()
		return nil, err
	}
	mux, err := newMux(conn, dialler)
	if err != nil {
		conn.Close()
		return nil, eris.Wrap(err, "start multiplexing")
	}
	s := &Session{Peer: core.InstanceID(peerHello.Instance), Incarnation: peerHello.Incarnation, faults: self.Faults, mux: mux}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.acceptStreams(handler)
	return s, nil
}

func newMux(conn net.Conn, dialler bool) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	if dialler {
		return yamux.Client(conn, cfg)
	}
	return yamux.Server(conn, cfg)
}

// acceptStreams serves the peer's streams until the session ends.
func (s *Session) acceptStreams(handler StreamHandler) {
	defer s.cancel()
	for {
		conn, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(newStream(conn), handler)
	}
}

func (s *Session) serveStream(stream *Stream, handler StreamHandler) {
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(streamHeaderTimeout)); err != nil {
		return
	}
	header := &StreamHeader{}
	if err := stream.Recv(header); err != nil {
		s.faults.countStream()
		return
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return
	}
	handler(s.ctx, s, stream, header)
}

// OpenStream opens a stream and sends its header. It returns ErrSessionClosed if
// no stream could be opened, and *SendError if the peer may have received the
// header.
func (s *Session) OpenStream(header *StreamHeader) (*Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, eris.Wrap(ErrSessionClosed, err.Error())
	}
	stream := newStream(conn)
	if err := stream.Send(header); err != nil {
		stream.Close()
		return nil, &SendError{Peer: s.Peer, Cause: err}
	}
	return stream, nil
}

// Request opens a stream, sends the header and reads a single response. It
// blocks until the response arrives or ctx ends.
func (s *Session) Request(ctx context.Context, header *StreamHeader, response proto.Message) error {
	stream, err := s.OpenStream(header)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return err
		}
	}
	return stream.Recv(response)
}

// CatchUp blocks until all that the peer has sent before it answers was received, which takes a round
// trip.
func (s *Session) CatchUp() error {
	_, err := s.mux.Ping()
	return err
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} {
	return s.ctx.Done()
}

// Closed reports whether the session has ended.
func (s *Session) Closed() bool {
	return s.mux.IsClosed()
}

// Close ends the session and all its streams.
func (s *Session) Close() error {
	return s.mux.Close()
}
