package places

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// RefusedError reports a request that got no place. It has not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when there will be room.
	RetryAfter time.Duration
	Waited     time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s after %v, room in %v", e.Reason, e.Waited, e.RetryAfter)
}

// Grant is a place at an endpoint. Done must be called once.
type Grant struct {
	Endpoint string
	// Waited is how long the request was held for the place.
	Waited time.Duration
	// Seen is what the choice rested on.
	Seen Seen

	gate *Gate
	id   uint64
}

// Done frees the place. It reports whether the outcome made this entry set the
// endpoint aside.
func (g *Grant) Done(outcome Outcome) bool {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	aside := g.gate.pool.Done(g.gate.now(), g.Endpoint, g.id, outcome)
	g.gate.advance()
	return aside
}

// Progress notes that the endpoint sent a part of an answer.
func (g *Grant) Progress() {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	first := g.gate.pool.Progress(g.gate.now(), g.Endpoint, g.id)
	if first {
		g.gate.advance()
	}
}

// Gate lets callers wait for places of one Pool. It is safe for concurrent
// use; mu guards all fields.
type Gate struct {
	now func() time.Time

	mu      sync.Mutex
	pool    *Pool
	nextID  uint64
	waiters map[uint64]chan Started
}

// NewGate returns a gate around a pool, which it owns from then on.
func NewGate(pool *Pool, now func() time.Time) *Gate {
	return &Gate{now: now, pool: pool, waiters: make(map[uint64]chan Started)}
}

// Change applies a change of what the pool knows and starts what then has
// room.
func (g *Gate) Change(f func(*Pool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.pool)
	g.advance()
}

// advance starts waiting requests. g.mu is held.
func (g *Gate) advance() {
	for _, s := range g.pool.Next(g.now()) {
		g.waiters[s.Ask.ID] <- s
		delete(g.waiters, s.Ask.ID)
	}
}

// Acquire returns a place. It blocks while the request is held, until
// a.GiveUp at the latest. It returns *RefusedError or ctx's error.
func (g *Gate) Acquire(ctx context.Context, a Ask) (*Grant, error) {
	g.mu.Lock()
	g.nextID++
	a.ID = g.nextID
	began := g.now()
	decision := g.pool.Offer(began, &a)
	var start chan Started
	if decision.Verdict == Hold {
		start = make(chan Started, 1)
		g.waiters[a.ID] = start
	}
	g.mu.Unlock()
	switch decision.Verdict {
	case Start:
		return &Grant{Endpoint: decision.Endpoint, Seen: decision.Seen, gate: g, id: a.ID}, nil
	case Refuse:
		return nil, &RefusedError{Reason: decision.Reason, RetryAfter: decision.Wait}
	}
	return g.wait(ctx, &a, began, start)
}

// wait blocks until a held request got its place or gives up. One that is no
// longer on time goes on waiting only if places are left for late ones.
func (g *Gate) wait(ctx context.Context, a *Ask, began time.Time, start chan Started) (*Grant, error) {
	end := a.GiveUp
	if !a.Begun && a.OnTimeUntil.Before(end) && a.OnTimeUntil.After(began) {
		end = a.OnTimeUntil
	}
	for {
		timer := time.NewTimer(end.Sub(g.now()))
		select {
		case started := <-start:
			timer.Stop()
			return g.granted(began, started), nil
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
			if end.Before(a.GiveUp) && !g.hopeless(a) {
				end = a.GiveUp
				continue
			}
		}
		return g.leave(ctx, a, began, start)
	}
}

// hopeless reports whether a request that is late would wait in vain.
func (g *Gate) hopeless(a *Ask) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return now.Add(g.pool.expected(now, a, g.pool.rate(now))).After(a.GiveUp)
}

// leave ends the wait of a request unless it got its place meanwhile.
func (g *Gate) leave(ctx context.Context, a *Ask, began time.Time, start chan Started) (*Grant, error) {
	if !g.withdraw(a.ID) {
		return g.granted(began, <-start), nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := g.pool.expected(g.now(), a, g.pool.rate(g.now()))
	return nil, &RefusedError{Reason: ReasonExpired, RetryAfter: wait, Waited: g.now().Sub(began)}
}

func (g *Gate) granted(began time.Time, s Started) *Grant {
	return &Grant{Endpoint: s.Endpoint, Seen: s.Seen, Waited: g.now().Sub(began), gate: g, id: s.Ask.ID}
}

// withdraw reports false if the request got its place meanwhile.
func (g *Gate) withdraw(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	return g.pool.Remove(id)
}
