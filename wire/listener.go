package wire

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// maxHandshakes is the most connections that are not sessions yet; further
// ones are closed.
const maxHandshakes = 256

// Listener accepts sessions over TCP.
type Listener struct {
	self     Identity
	handler  StreamHandler
	onOpen   func(*Session)
	listener net.Listener
	// handshakes bounds the connections that are not sessions yet.
	handshakes chan struct{}

	mu       sync.Mutex // Guards sessions and closed.
	sessions map[*Session]struct{}
	closed   bool
}

// Listen accepts sessions on addr until Close. onOpen, if set, runs for each
// session before its streams are of use to anyone else.
func Listen(addr string, self Identity, h StreamHandler, onOpen func(*Session)) (*Listener, error) {
	var cfg net.ListenConfig
	tcp, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for sessions on %s", addr)
	}
	l := &Listener{
		self:       self,
		handler:    h,
		onOpen:     onOpen,
		listener:   tcp,
		handshakes: make(chan struct{}, maxHandshakes),
		sessions:   make(map[*Session]struct{}),
	}
	go l.accept()
	return l, nil
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() string {
	return l.listener.Addr().String()
}

func (l *Listener) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		select {
		case l.handshakes <- struct{}{}:
			go l.open(conn)
		default:
			l.self.Faults.session()
			_ = conn.Close()
		}
	}
}

func (l *Listener) open(conn net.Conn) {
	s, err := newSession(conn, l.self, false, l.handler)
	<-l.handshakes
	if err != nil {
		return
	}
	if !l.add(s) {
		s.Close()
		return
	}
	if l.onOpen != nil {
		l.onOpen(s)
	}
	<-s.Done()
	l.remove(s)
}

func (l *Listener) add(s *Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[s] = struct{}{}
	return true
}

func (l *Listener) remove(s *Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s)
}

// Sessions returns the open sessions.
func (l *Listener) Sessions() []*Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*Session, 0, len(l.sessions))
	for s := range l.sessions {
		open = append(open, s)
	}
	return open
}

// Close stops accepting and ends all sessions.
func (l *Listener) Close() error {
	err := l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for _, s := range l.Sessions() {
		s.Close()
	}
	return err
}
