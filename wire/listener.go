package wire

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// maxConcurrentHandshakes limits the handshakes in progress; connections beyond
// the limit are closed.
const maxConcurrentHandshakes = 256

// Listener accepts sessions over TCP.
type Listener struct {
	self     Identity
	handler  StreamHandler
	onOpen   func(*Session)
	listener net.Listener
	// handshakeSlots holds one element for each handshake in progress.
	handshakeSlots chan struct{}

	mu       sync.Mutex // Guards sessions and closed.
	sessions map[*Session]struct{}
	closed   bool
}

// Listen accepts sessions on addr until Close. onOpen, if set, is called for
// each session after its handshake.
func Listen(addr string, self Identity, handler StreamHandler, onOpen func(*Session)) (*Listener, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for sessions on %s", addr)
	}
	l := &Listener{
		self:           self,
		handler:        handler,
		onOpen:         onOpen,
		listener:       listener,
		handshakeSlots: make(chan struct{}, maxConcurrentHandshakes),
		sessions:       make(map[*Session]struct{}),
	}
	go l.acceptConns()
	return l, nil
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() string {
	return l.listener.Addr().String()
}

func (l *Listener) acceptConns() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		select {
		case l.handshakeSlots <- struct{}{}:
			go l.serveConn(conn)
		default:
			l.self.Faults.countSession()
			_ = conn.Close()
		}
	}
}

func (l *Listener) serveConn(conn net.Conn) {
	s, err := newSession(conn, l.self, false, l.handler)
	<-l.handshakeSlots
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

// Close stops accepting connections and ends all sessions.
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
