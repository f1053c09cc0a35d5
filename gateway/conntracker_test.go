package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
)

// connTrackerFixture tracks one connection at times relative to start.
type connTrackerFixture struct {
	tracker *connTracker
	conn    net.Conn
	start   time.Time
}

func newConnTrackerFixture(t *testing.T) *connTrackerFixture {
	t.Helper()
	conn, peer := net.Pipe()
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	return &connTrackerFixture{tracker: newConnTracker(), conn: conn, start: time.Unix(1000, 0)}
}

func (f *connTrackerFixture) setState(state http.ConnState, after time.Duration) {
	f.tracker.stateChanged(f.conn, state, f.start.Add(after))
}

func (f *connTrackerFixture) overdueCount(after time.Duration, limits directory.Limits) int {
	return len(f.tracker.takeOverdue(f.start.Add(after), limits))
}

func TestConnWithoutRequestHeaderBecomesOverdue(t *testing.T) {
	f := newConnTrackerFixture(t)
	limits := directory.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	f.setState(http.StateNew, 0)
	assert.Equal(t, f.overdueCount(3*time.Second+callerTimeoutSlack, limits), 0)
	assert.Equal(t, f.overdueCount(3*time.Second+callerTimeoutSlack+1, limits), 1)
	assert.Equal(t, f.overdueCount(time.Hour, limits), 0, "a connection is returned only once")
}

func TestConnWithActiveRequestIsNotOverdue(t *testing.T) {
	f := newConnTrackerFixture(t)
	f.setState(http.StateNew, 0)
	f.setState(http.StateActive, time.Second)
	assert.Equal(t, f.overdueCount(time.Hour, directory.Limits{HeaderTimeout: time.Second}), 0)
}

func TestIdleConnUsesCurrentLimits(t *testing.T) {
	f := newConnTrackerFixture(t)
	limits := directory.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	f.setState(http.StateActive, 0)
	f.setState(http.StateIdle, time.Second)
	headerDeadline := time.Second + limits.HeaderTimeout + callerTimeoutSlack
	assert.Equal(t, f.overdueCount(headerDeadline+15*time.Second, limits), 0)
	limits.IdleTimeout = time.Minute
	assert.Equal(t, f.overdueCount(headerDeadline+time.Minute, limits), 0, "a later document allows more")
	assert.Equal(t, f.overdueCount(headerDeadline+time.Minute+1, limits), 1)
}

func TestDefaultTimeoutsApplyWithoutDocument(t *testing.T) {
	f := newConnTrackerFixture(t)
	f.setState(http.StateNew, 0)
	assert.Equal(t, f.overdueCount(defaultHeaderTimeout+callerTimeoutSlack, directory.Limits{}), 0)
	assert.Equal(t, f.overdueCount(defaultHeaderTimeout+callerTimeoutSlack+1, directory.Limits{}), 1)
}
