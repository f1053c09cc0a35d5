package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
)

// callersFixture is one connection that is watched at set times.
type callersFixture struct {
	callers *callers
	conn    net.Conn
	start   time.Time
}

func newCallersFixture(t *testing.T) *callersFixture {
	t.Helper()
	conn, peer := net.Pipe()
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	return &callersFixture{callers: newCallers(), conn: conn, start: time.Unix(1000, 0)}
}

func (f *callersFixture) change(state http.ConnState, after time.Duration) {
	f.callers.changed(f.conn, state, f.start.Add(after))
}

func (f *callersFixture) overdue(after time.Duration, limits directory.Limits) int {
	return len(f.callers.overdue(f.start.Add(after), limits))
}

func TestCallerWithoutAHeaderIsClosed(t *testing.T) {
	f := newCallersFixture(t)
	limits := directory.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	f.change(http.StateNew, 0)
	assert.Equal(t, f.overdue(3*time.Second+callersSlack, limits), 0)
	assert.Equal(t, f.overdue(3*time.Second+callersSlack+1, limits), 1)
	assert.Equal(t, f.overdue(time.Hour, limits), 0, "returned once")
}

func TestCallerWithARequestUnderWayIsLeftAlone(t *testing.T) {
	f := newCallersFixture(t)
	f.change(http.StateNew, 0)
	f.change(http.StateActive, time.Second)
	assert.Equal(t, f.overdue(time.Hour, directory.Limits{HeaderTimeout: time.Second}), 0)
}

func TestIdleCallerIsClosedByTheLimitsInForce(t *testing.T) {
	f := newCallersFixture(t)
	limits := directory.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	f.change(http.StateActive, 0)
	f.change(http.StateIdle, time.Second)
	whole := time.Second + limits.HeaderTimeout + callersSlack
	assert.Equal(t, f.overdue(whole+15*time.Second, limits), 0)
	limits.IdleTimeout = time.Minute
	assert.Equal(t, f.overdue(whole+time.Minute, limits), 0, "a later document allows more")
	assert.Equal(t, f.overdue(whole+time.Minute+1, limits), 1)
}

func TestCallersAreBoundedWithoutADocument(t *testing.T) {
	f := newCallersFixture(t)
	f.change(http.StateNew, 0)
	assert.Equal(t, f.overdue(defaultHeaderTimeout+callersSlack, directory.Limits{}), 0)
	assert.Equal(t, f.overdue(defaultHeaderTimeout+callersSlack+1, directory.Limits{}), 1)
}
