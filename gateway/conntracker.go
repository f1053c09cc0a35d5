package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/snipestep/snipestep/directory"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply while no document sets
	// limits. Both exceed those of known deployments, 3 s and 15 s.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// callerTimeoutSlack is added to the limits, which callers measure by their
	// own clocks: a packet that is lost twice arrives three seconds late.
	callerTimeoutSlack = 3 * time.Second
	// connCheckInterval is how often connections are checked against the limits,
	// short compared with the shortest limit of known deployments.
	connCheckInterval = 500 * time.Millisecond
)

// connTracker finds caller connections that exceed the limits of the document: those that do
// not send the header of their first request in time, and those that stay idle. The limits may
// change while a connection waits; the caller goes by those of the start of the wait until it
// knows the others, so that the longer ones hold. It is safe for concurrent use.
type connTracker struct {
	limits func() directory.Limits

	mu sync.Mutex
	// waiting holds the connections without an active request.
	waiting map[net.Conn]connWait
	// closing holds the connections that are about to be closed. A request that is read on
	// one of them may not be forwarded: it would get no answer.
	closing map[net.Conn]bool
}

// connWait describes a connection that waits for its next request.
type connWait struct {
	since        time.Time
	firstRequest bool // No request has arrived yet.
	// limits are those at the start of the wait, none if no document was known.
	limits directory.Limits
}

func newConnTracker(limits func() directory.Limits) *connTracker {
	return &connTracker{limits: limits, waiting: make(map[net.Conn]connWait), closing: make(map[net.Conn]bool)}
}

// stateChanged records a change of a connection's state.
func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState, now time.Time) {
	limits := t.limits()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.waiting[conn] = connWait{since: now, firstRequest: true, limits: limits}
	case http.StateIdle:
		t.waiting[conn] = connWait{since: now, limits: limits}
	case http.StateClosed, http.StateHijacked:
		delete(t.waiting, conn)
		delete(t.closing, conn)
	default:
		delete(t.waiting, conn)
	}
}

// isClosing reports whether a connection is about to be closed.
func (t *connTracker) isClosing(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing[conn]
}

// takeOverdue returns the connections that have waited too long, which the caller closes.
func (t *connTracker) takeOverdue(now time.Time) []net.Conn {
	limits := t.limits()
	t.mu.Lock()
	defer t.mu.Unlock()
	var overdue []net.Conn
	for conn, wait := range t.waiting {
		if now.Sub(wait.since) > wait.longestTimeout(limits) {
			overdue = append(overdue, conn)
			delete(t.waiting, conn)
			t.closing[conn] = true
		}
	}
	return overdue
}

// longestTimeout returns how long a connection may wait by the current limits or by those at the
// start of the wait, if a document was known then.
func (w connWait) longestTimeout(current directory.Limits) time.Duration {
	if w.limits == (directory.Limits{}) {
		return w.timeout(current)
	}
	return max(w.timeout(current), w.timeout(w.limits))
}

// timeout returns how long a connection may wait. A connection counts as idle until
// the header of its next request is complete, so that both limits apply in turn.
func (w connWait) timeout(limits directory.Limits) time.Duration {
	headerTimeout := durationOrDefault(limits.HeaderTimeout, defaultHeaderTimeout) + callerTimeoutSlack
	if w.firstRequest {
		return headerTimeout
	}
	return durationOrDefault(limits.IdleTimeout, defaultIdleTimeout) + headerTimeout
}

// durationOrDefault returns the limit, or fallback if none is set.
func durationOrDefault(limit, fallback time.Duration) time.Duration {
	if limit > 0 {
		return limit
	}
	return fallback
}
