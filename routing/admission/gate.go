package admission

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// RefusedError reports a request that got no slot. It has not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the expected time until a slot is free.
	RetryAfter time.Duration
	Waited     time.Duration
	// MinVersion is the oldest version of the weights that was allowed.
	MinVersion uint64
	// Unavailable counts the endpoints that got no requests at the refusal.
	Unavailable UnavailableEndpoints
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s after %v, slot expected in %v", e.Reason, e.Waited, e.RetryAfter)
}

// Grant is a slot that a request occupies at an endpoint. Done must be called once.
type Grant struct {
	EndpointID string
	// Waited is how long the request waited for the slot.
	Waited time.Duration
	// Estimate is the load estimate on which the choice was based.
	Estimate LoadEstimate

	gate      *Gate
	requestID uint64
}

// Done frees the slot and reports whether the outcome opened the circuit breaker
// of the endpoint.
func (g *Grant) Done(outcome Outcome) bool {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	breakerOpened := g.gate.pool.Done(g.gate.now(), g.EndpointID, g.requestID, outcome)
	g.gate.dispatchWaiting()
	return breakerOpened
}

// RecordProgress records that the endpoint sent a part of the response.
func (g *Grant) RecordProgress() {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	first := g.gate.pool.RecordProgress(g.gate.now(), g.EndpointID, g.requestID)
	if first {
		g.gate.dispatchWaiting()
	}
}

// Gate blocks callers until a Pool has a slot for them. It is safe for
// concurrent use; mu guards all fields below it.
type Gate struct {
	now func() time.Time

	mu      sync.Mutex
	pool    *Pool
	nextID  uint64
	waiters map[uint64]chan Assignment
}

// NewGate returns a gate that takes ownership of a pool.
func NewGate(pool *Pool, now func() time.Time) *Gate {
	return &Gate{now: now, pool: pool, waiters: make(map[uint64]chan Assignment)}
}

// Update runs f on the pool under the lock, then starts the waiting requests for
// which slots are free.
func (g *Gate) Update(f func(*Pool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.pool)
	g.dispatchWaiting()
}

// Inspect runs f on the pool under the lock. f must not make slots free.
func (g *Gate) Inspect(f func(*Pool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.pool)
}

// dispatchWaiting starts waiting requests, and refuses those that no endpoint can serve. The caller holds g.mu.
func (g *Gate) dispatchWaiting() {
	for _, assignment := range g.pool.Dispatch(g.now()) {
		g.waiters[assignment.Request.ID] <- assignment
		delete(g.waiters, assignment.Request.ID)
	}
	for _, refused := range g.pool.RefuseUnservable(g.now()) {
		g.waiters[refused.ID] <- Assignment{Request: refused, Refused: true}
		delete(g.waiters, refused.ID)
	}
}

// Acquire returns a slot. It blocks while the request waits, until its hard
// deadline at the latest. The error is *RefusedError or that of ctx.
func (g *Gate) Acquire(ctx context.Context, req Request) (*Grant, error) {
	g.mu.Lock()
	g.nextID++
	req.ID = g.nextID
	enqueuedAt := g.now()
	decision := g.pool.Submit(enqueuedAt, &req)
	var assigned chan Assignment
	if decision.Verdict == Enqueue {
		assigned = make(chan Assignment, 1)
		g.waiters[req.ID] = assigned
	}
	minVersion := g.pool.minVersion
	g.mu.Unlock()
	switch decision.Verdict {
	case Start:
		return &Grant{EndpointID: decision.EndpointID, Estimate: decision.Estimate, gate: g, requestID: req.ID}, nil
	case Refuse:
		return nil, &RefusedError{Reason: decision.Reason, RetryAfter: decision.ExpectedWait, MinVersion: minVersion, Unavailable: decision.Unavailable}
	}
	return g.wait(ctx, &req, enqueuedAt, assigned)
}

// TryAcquire returns a slot that is free now, or nil. The request does not count as an arrival: it
// runs elsewhere already.
func (g *Gate) TryAcquire(req Request) *Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	req.ID = g.nextID
	decision, ok := g.pool.TryStart(g.now(), &req)
	if !ok {
		return nil
	}
	return &Grant{EndpointID: decision.EndpointID, Estimate: decision.Estimate, gate: g, requestID: req.ID}
}

// wait blocks until a waiting request has a slot or stops waiting. After the soft
// deadline it keeps waiting only if a slot is expected before the hard deadline.
func (g *Gate) wait(ctx context.Context, req *Request, enqueuedAt time.Time, assigned chan Assignment) (*Grant, error) {
	deadline := req.HardDeadline
	if !req.goesFirst() && req.SoftDeadline.Before(deadline) && req.SoftDeadline.After(enqueuedAt) {
		deadline = req.SoftDeadline
	}
	for {
		timer := time.NewTimer(deadline.Sub(g.now()))
		select {
		case assignment := <-assigned:
			timer.Stop()
			return g.settle(enqueuedAt, assignment)
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
			if deadline.Before(req.HardDeadline) && !g.wouldMissDeadline(req) {
				deadline = req.HardDeadline
				continue
			}
		}
		return g.stopWaiting(ctx, req, enqueuedAt, assigned)
	}
}

// wouldMissDeadline reports whether a request is expected to wait beyond its hard
// deadline.
func (g *Gate) wouldMissDeadline(req *Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return now.Add(g.pool.expectedWait(now, req, g.pool.slotReleaseRate(now, req.Regions))).After(req.HardDeadline)
}

// stopWaiting ends the wait of a request unless it has got a slot in the
// meantime.
func (g *Gate) stopWaiting(ctx context.Context, req *Request, enqueuedAt time.Time, assigned chan Assignment) (*Grant, error) {
	if !g.dequeue(req.ID) {
		return g.settle(enqueuedAt, <-assigned)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	wait := g.pool.expectedWait(now, req, g.pool.slotReleaseRate(now, req.Regions))
	return nil, &RefusedError{
		Reason: ReasonExpired, RetryAfter: wait, Waited: now.Sub(enqueuedAt), MinVersion: g.pool.minVersion,
		Unavailable: g.pool.unavailableTo(now, req.Regions),
	}
}

// settle returns the slot that a waiting request got, or *RefusedError.
func (g *Gate) settle(enqueuedAt time.Time, assignment Assignment) (*Grant, error) {
	waited := g.now().Sub(enqueuedAt)
	if !assignment.Refused {
		return &Grant{EndpointID: assignment.EndpointID, Estimate: assignment.Estimate, Waited: waited, gate: g, requestID: assignment.Request.ID}, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return nil, &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: unservableWait, Waited: waited, MinVersion: g.pool.minVersion, Unavailable: g.pool.unavailableTo(g.now(), assignment.Request.Regions)}
}

// dequeue removes a waiting request. It reports false if the request has got a
// slot in the meantime.
func (g *Gate) dequeue(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	return g.pool.Remove(id)
}
