package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

const (
	dialTimeout = 2 * time.Second
	idleClose   = 30 * time.Second
)

// sessionPool keeps the sessions that this entry dials. A session that is
// neither pinned nor used for idleClose is closed.
type sessionPool struct {
	dial    wire.Dialer
	self    wire.Identity
	handler wire.StreamHandler
	now     func() time.Time
	flights singleflight.Group

	mu       sync.Mutex // Guards sessions and their fields.
	sessions map[core.InstanceID]*pooledSession
}

// pooledSession is one session with the time of its last use.
type pooledSession struct {
	session *wire.Session
	used    time.Time
}

func newSessionPool(dial wire.Dialer, self wire.Identity, h wire.StreamHandler, now func() time.Time) *sessionPool {
	return &sessionPool{
		dial:     dial,
		self:     self,
		handler:  h,
		now:      now,
		sessions: make(map[core.InstanceID]*pooledSession),
	}
}

// get returns an open session to the instance and dials if there is none. It
// blocks for at most dialTimeout.
func (p *sessionPool) get(ctx context.Context, to core.Instance) (*wire.Session, error) {
	if s := p.open(to.ID); s != nil {
		return s, nil
	}
	s, err, _ := p.flights.Do(string(to.ID), func() (any, error) {
		return p.connect(ctx, to)
	})
	if err != nil {
		return nil, err
	}
	return s.(*wire.Session), nil
}

// open returns the open session to an instance, or nil.
func (p *sessionPool) open(id core.InstanceID) *wire.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.sessions[id]
	if held == nil || held.session.Closed() {
		return nil
	}
	held.used = p.now()
	return held.session
}

func (p *sessionPool) connect(ctx context.Context, to core.Instance) (*wire.Session, error) {
	if s := p.open(to.ID); s != nil {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := wire.Dial(ctx, p.dial, to.SessionAddr, p.self, p.handler)
	if err != nil {
		return nil, err
	}
	if s.Peer != to.ID {
		_ = s.Close()
		return nil, &UnknownInstanceError{Instance: to.ID}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[to.ID] = &pooledSession{session: s, used: p.now()}
	return s, nil
}

// sweep closes idle sessions but the pinned ones, and forgets closed ones.
func (p *sessionPool) sweep(pinned map[core.InstanceID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, held := range p.sessions {
		if !held.session.Closed() && (pinned[id] || now.Sub(held.used) < idleClose) {
			continue
		}
		_ = held.session.Close()
		delete(p.sessions, id)
	}
}

// drop ends the session to one instance.
func (p *sessionPool) drop(id core.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held := p.sessions[id]; held != nil {
		_ = held.session.Close()
		delete(p.sessions, id)
	}
}

// size returns the number of open sessions.
func (p *sessionPool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, held := range p.sessions {
		if !held.session.Closed() {
			n++
		}
	}
	return n
}

// close ends all sessions.
func (p *sessionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, held := range p.sessions {
		_ = held.session.Close()
		delete(p.sessions, id)
	}
}
