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

// connTracker finds caller connections that exceed the limits of the current
// document: those that do not send the header of their first request in time, and
// those that stay idle. The limits may change while a connection waits. It is
// safe for concurrent use.
type connTracker struct {
	mu sync.Mutex
	// waiting holds the connections without an active request.
	waiting map[net.Conn]connWait
}

// connWait describes a connection that waits for its next request.
type connWait struct {
	since        time.Time
	firstRequest bool // No request has arrived yet.
}

func newConnTracker() *connTracker {
	return &connTracker{waiting: make(map[net.Conn]connWait)}
}

// stateChanged records a change of a connection's state.
func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.waiting[conn] = connWait{since: now, firstRequest: true}
	case http.StateIdle:
		t.waiting[conn] = connWait{since: now}
	default:
		delete(t.waiting, conn)
	}
}

// takeOverdue removes and returns the connections that have waited too long.
func (t *connTracker) takeOverdue(now time.Time, limits directory.Limits) []net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var overdue []net.Conn
	for conn, wait := range t.waiting {
		if now.Sub(wait.since) > wait.timeout(limits) {
			overdue = append(overdue, conn)
			delete(t.waiting, conn)
		}
	}
	return overdue
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
