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
	dialTimeout        = 2 * time.Second
	idleSessionTimeout = 30 * time.Second
)

// sessionPool holds the sessions that this entry dials. closeIdle closes sessions
// that are not pinned and have been idle for idleSessionTimeout.
type sessionPool struct {
	dial    wire.Dialer
	self    wire.Identity
	handler wire.StreamHandler
	now     func() time.Time
	dials   singleflight.Group

	mu       sync.Mutex // Guards sessions and their fields.
	sessions map[core.InstanceID]*pooledSession
}

// pooledSession is a session with the time of its last use.
type pooledSession struct {
	session  *wire.Session
	lastUsed time.Time
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

// get returns the open session to an instance, or dials if there is none. It
// blocks for at most dialTimeout.
func (p *sessionPool) get(ctx context.Context, instance core.Instance) (*wire.Session, error) {
	if session := p.lookup(instance.ID); session != nil {
		return session, nil
	}
	session, err, _ := p.dials.Do(string(instance.ID), func() (any, error) {
		return p.connect(ctx, instance)
	})
	if err != nil {
		return nil, err
	}
	return session.(*wire.Session), nil
}

// lookup returns the open session to an instance, or nil.
func (p *sessionPool) lookup(id core.InstanceID) *wire.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled := p.sessions[id]
	if pooled == nil || pooled.session.Closed() {
		return nil
	}
	pooled.lastUsed = p.now()
	return pooled.session
}

func (p *sessionPool) connect(ctx context.Context, instance core.Instance) (*wire.Session, error) {
	if session := p.lookup(instance.ID); session != nil {
		return session, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := wire.Dial(ctx, p.dial, instance.SessionAddr, p.self, p.handler)
	if err != nil {
		return nil, err
	}
	if session.Peer != instance.ID {
		_ = session.Close()
		return nil, &PeerMismatchError{Instance: instance.ID}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[instance.ID] = &pooledSession{session: session, lastUsed: p.now()}
	return session, nil
}

// closeIdle closes idle sessions that are not pinned, and removes closed ones.
func (p *sessionPool) closeIdle(pinned map[core.InstanceID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, pooled := range p.sessions {
		if !pooled.session.Closed() && (pinned[id] || now.Sub(pooled.lastUsed) < idleSessionTimeout) {
			continue
		}
		_ = pooled.session.Close()
		delete(p.sessions, id)
	}
}

// closeSession closes the session to an instance.
func (p *sessionPool) closeSession(id core.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pooled := p.sessions[id]; pooled != nil {
		_ = pooled.session.Close()
		delete(p.sessions, id)
	}
}

// countOpen returns the number of open sessions.
func (p *sessionPool) countOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pooled := range p.sessions {
		if !pooled.session.Closed() {
			n++
		}
	}
	return n
}

// closeAll closes all sessions.
func (p *sessionPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pooled := range p.sessions {
		_ = pooled.session.Close()
		delete(p.sessions, id)
	}
}
