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
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	acceptBacklog     = 1024
	headerTimeout     = 5 * time.Second
)

// StreamHandler serves one stream that the peer opened. It runs in its own
// goroutine; the stream is closed when it returns.
type StreamHandler func(ctx context.Context, s *Session, st *Stream, h *StreamHeader)

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
// *DialError or *HandshakeError if it fails. h serves the streams opened by the
// peer.
func Dial(ctx context.Context, dial Dialer, addr string, self Identity, h StreamHandler) (*Session, error) {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Cause: err}
	}
	return newSession(conn, self, true, h)
}

func newSession(conn net.Conn, self Identity, dialler bool, h StreamHandler) (*Session, error) {
	hello, err := handshake(conn, self, dialler)
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
	s := &Session{Peer: core.InstanceID(hello.Instance), Incarnation: hello.Incarnation, faults: self.Faults, mux: mux}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.acceptStreams(h)
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
func (s *Session) acceptStreams(h StreamHandler) {
	defer s.cancel()
	for {
		conn, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(newStream(conn), h)
	}
}

func (s *Session) serveStream(st *Stream, h StreamHandler) {
	defer st.Close()
	if err := st.SetDeadline(time.Now().Add(headerTimeout)); err != nil {
		return
	}
	header := &StreamHeader{}
	if err := st.Recv(header); err != nil {
		s.faults.countStream()
		return
	}
	if err := st.SetDeadline(time.Time{}); err != nil {
		return
	}
	h(s.ctx, s, st, header)
}

// OpenStream opens a stream and sends its header. It returns ErrSessionClosed if no
// stream could be opened, and *SendError if the peer may have received the
// header.
func (s *Session) OpenStream(h *StreamHeader) (*Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, eris.Wrap(ErrSessionClosed, err.Error())
	}
	st := newStream(conn)
	if err := st.Send(h); err != nil {
		st.Close()
		return nil, &SendError{Peer: s.Peer, Cause: err}
	}
	return st, nil
}

// Request opens a stream, sends the header and reads a single response. It blocks
// until the response arrives or ctx ends.
func (s *Session) Request(ctx context.Context, h *StreamHeader, response proto.Message) error {
	st, err := s.OpenStream(h)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := st.SetDeadline(deadline); err != nil {
			return err
		}
	}
	return st.Recv(response)
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
