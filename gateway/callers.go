package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/snipestep/snipestep/directory"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout hold while no document sets
	// limits. Both stand above those of known deployments, 3 s and 15 s.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// callersSlack is added to the limits, which callers keep by their own
	// clocks: a packet that is lost twice arrives three seconds late.
	callersSlack = 3 * time.Second
	// callersTick is how often connections are compared with the limits. It is
	// small beside the shortest limit of known deployments.
	callersTick = 500 * time.Millisecond
)

// callers closes the connections of callers that overstep the limits of the
// document in force: those that have not sent the header of their first request
// in time, and those that stay idle. The limits may change while a connection
// waits. It is safe for concurrent use.
type callers struct {
	mu sync.Mutex
	// waits holds the connections on which no request is under way.
	waits map[net.Conn]callerWait
}

// callerWait is a connection on which the next request is awaited.
type callerWait struct {
	since time.Time
	fresh bool // No request has come yet.
}

func newCallers() *callers {
	return &callers{waits: make(map[net.Conn]callerWait)}
}

// changed takes a change of a connection's state over.
func (c *callers) changed(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.waits[conn] = callerWait{since: now, fresh: true}
	case http.StateIdle:
		c.waits[conn] = callerWait{since: now}
	default:
		delete(c.waits, conn)
	}
}

// overdue removes and returns the connections that have waited too long.
func (c *callers) overdue(now time.Time, limits directory.Limits) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var late []net.Conn
	for conn, wait := range c.waits {
		if now.Sub(wait.since) > wait.limit(limits) {
			late = append(late, conn)
			delete(c.waits, conn)
		}
	}
	return late
}

// limit returns how long a wait may last. A connection counts as idle until
// the header of its next request is whole, so both limits apply to it in turn.
func (w callerWait) limit(limits directory.Limits) time.Duration {
	header := positive(limits.HeaderTimeout, defaultHeaderTimeout) + callersSlack
	if w.fresh {
		return header
	}
	return positive(limits.IdleTimeout, defaultIdleTimeout) + header
}

// positive returns the limit, or the default where none is set.
func positive(limit, otherwise time.Duration) time.Duration {
	if limit > 0 {
		return limit
	}
	return otherwise
}
