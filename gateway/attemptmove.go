package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/routing/admission"
)

// moveRetryInterval is the pause between two attempts to find a slot for a request whose answer
// has not begun at an endpoint that may be sound: it does not queue a second time.
const moveRetryInterval = 250 * time.Millisecond

// attemptMove moves one attempt of a request to another endpoint. It takes a slot there before it
// cancels the attempt: a request for which there is none goes on where it runs. An attempt of which
// the caller has events goes on until the next one has its first event: its endpoint may only be
// silent before the end of the response, and the next one then has nothing to add. It is safe for
// concurrent use.
type attemptMove struct {
	gateway *Gateway
	req     *request
	// attempt ends with the attempt, which cancel ends early; stream ends with the request.
	attempt context.Context
	stream  context.Context
	cancel  context.CancelCauseFunc
	// template is the request for a slot at another endpoint.
	template admission.Request
	// hasSpare says that a retry is reserved for the request from an earlier move.
	hasSpare bool
	// begun says that the caller has a part of the response.
	begun atomic.Bool
	// endpointID is that of the attempt.
	endpointID string

	// mu guards the fields below. It may be held while the gate's lock is taken.
	mu    sync.Mutex
	ended bool
	// cause is why a slot is searched for, nil while none is.
	cause      error
	stopSearch context.CancelFunc
	// placed is the slot that was taken, nil for none.
	placed *admission.Grant
	// reserved says that a spare retry was reserved with it.
	reserved bool
	// opener begins the next attempt while this one goes on, nil until the caller has an event of it.
	opener openFunc
	// lastEventID is the ID of the last event that the caller has, or is about to get.
	lastEventID string
	// opening is the next attempt while it begins, nil for none.
	opening *openingAttempt
	// exhausted says that the route allows no further attempt.
	exhausted bool
	// wantedAt is when a move was wanted first, zero if none was; obstacle is why the last try to
	// move did not succeed.
	wantedAt time.Time
	obstacle moveObstacle
}

// moveObstacle is why an attempt did not move, empty if nothing kept it.
type moveObstacle string

// The obstacles.
const (
	obstacleSlot    moveObstacle = "no_slot"
	obstacleRetry   moveObstacle = "no_retry"
	obstacleAttempt moveObstacle = "no_attempts"
)

// fields returns the log fields that tell whether the attempt was to move, after which time, and what
// kept it.
func (m *attemptMove) fields(sentAt time.Time) []any {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wantedAt.IsZero() {
		return nil
	}
	return []any{"move_wanted_ms", m.wantedAt.Sub(sentAt).Milliseconds(), "move_obstacle", string(m.obstacle)}
}

// newMove returns the move of an attempt at the endpoint of a grant. begun says that the caller
// has a part of the response. ctx ends with the attempt.
func newMove(ctx context.Context, cancel context.CancelCauseFunc, g *Gateway, req *request, grant *admission.Grant, begun bool) *attemptMove {
	m := &attemptMove{gateway: g, req: req, attempt: ctx, cancel: cancel, hasSpare: req.sparedRetry, endpointID: grant.EndpointID}
	m.template = req.admissionRequest(time.Now(), false)
	m.template.ExcludedEndpoints = append([]string{grant.EndpointID}, req.excludedEndpoints()...)
	m.template.Moved = true
	m.begun.Store(begun)
	return m
}

// start moves the attempt at once if there is a slot elsewhere, else as soon as there is one. It
// reports whether it took a slot.
func (m *attemptMove) start(cause error) (moved bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || m.placed != nil || m.opening != nil || (m.cause != nil && !m.supersedes(cause)) {
		return false
	}
	m.endSearch()
	if m.wantedAt.IsZero() {
		m.wantedAt = time.Now()
	}
	if m.exhausted {
		m.obstacle = obstacleAttempt
		return false
	}
	if grant := m.req.service.gate.TryAcquire(m.request(cause)); grant != nil {
		return m.place(grant, cause)
	}
	if !m.req.service.retryBudget.has(m.retriesFor(cause)) {
		m.obstacle = obstacleRetry
		return false
	}
	m.obstacle = obstacleSlot
	m.startSearch(cause, m.place)
	return false
}

// supersedes reports whether a search for a cause replaces the present one: that of a stranded request
// queues before others, as that of a stream whose endpoint closes does already. It is called with mu held.
func (m *attemptMove) supersedes(cause error) bool {
	return errors.Is(cause, errUnresponsive) && !errors.Is(m.cause, errUnresponsive) && !errors.Is(m.cause, errMigrated)
}

// startSearch is called with mu held. found gets the slot, with mu held.
func (m *attemptMove) startSearch(cause error, found func(*admission.Grant, error) bool) {
	ctx, stop := context.WithCancel(m.attempt)
	m.cause, m.stopSearch = cause, stop
	go m.search(ctx, cause, found)
}

// stop ends the search for a slot if it has the given cause.
func (m *attemptMove) stop(cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cause != nil && errors.Is(m.cause, cause) {
		m.endSearch()
	}
}

// end is called when the attempt is over. It returns the slot that was taken for the next one, nil
// for none, and whether a retry was reserved with it.
func (m *attemptMove) end() (placed *admission.Grant, reserved bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.endSearch()
	return m.placed, m.reserved
}

// endSearch is called with mu held.
func (m *attemptMove) endSearch() {
	if m.stopSearch != nil {
		m.stopSearch()
	}
	m.cause, m.stopSearch = nil, nil
}

// search waits for a slot, and passes it to found, until ctx ends.
func (m *attemptMove) search(ctx context.Context, cause error, found func(*admission.Grant, error) bool) {
	for ctx.Err() == nil && m.gateway.stopped.Err() == nil {
		grant := m.awaitSlot(ctx, cause)
		if grant == nil {
			delay.For(ctx, moveRetryInterval)
			continue
		}
		m.mu.Lock()
		if ctx.Err() != nil {
			grant.Done(admission.Cancelled)
		} else {
			m.endSearch()
			found(grant, cause)
		}
		m.mu.Unlock()
		return
	}
}

// awaitSlot returns a slot, nil if there is none now. A stream that has begun queues for one
// before all other requests, and so does a request at an unresponsive endpoint.
func (m *attemptMove) awaitSlot(ctx context.Context, cause error) *admission.Grant {
	req := m.request(cause)
	if !req.Resumed && !req.Stranded {
		return m.req.service.gate.TryAcquire(req)
	}
	grant, err := m.req.service.gate.Acquire(ctx, req)
	if err != nil {
		return nil
	}
	return grant
}

// request returns the request for a slot as of now. An attempt that leaves an endpoint for its
// change of weights goes to none that is about to change them too.
func (m *attemptMove) request(cause error) admission.Request {
	req := m.template
	if errors.Is(cause, errMigrated) {
		req.MinVersion = m.gateway.imminentVersion(m.req.service.name)
	}
	req.Resumed = m.begun.Load()
	req.Stranded = errors.Is(cause, errUnresponsive)
	if req.Resumed || req.Stranded {
		req.HardDeadline = m.req.resumeDeadline(time.Now())
	}
	return req
}

// place hands a slot over to the next attempt, if the retry budget allows it, and cancels the present
// one unless that goes on until the next one has begun. It is called with mu held.
func (m *attemptMove) place(grant *admission.Grant, cause error) bool {
	if !m.takeRetries(cause) {
		m.obstacle = obstacleRetry
		grant.Done(admission.Cancelled)
		return false
	}
	m.obstacle = ""
	if m.opener != nil {
		return m.open(grant, cause)
	}
	m.placed = grant
	m.cancel(cause)
	return true
}

// retriesFor returns the number of retries that a move takes. A stream that moves for the sake of
// others needs a second one in reserve, for the case that the next endpoint does not take it.
func (m *attemptMove) retriesFor(cause error) int {
	if errors.Is(cause, errMigrated) && !m.hasSpare {
		return 2
	}
	return 1
}

// takeRetries takes the retries for a move.
func (m *attemptMove) takeRetries(cause error) bool {
	retries := m.retriesFor(cause)
	taken := m.req.service.retryBudget.take(retries)
	m.reserved = taken && retries > 1
	return taken
}
