package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
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
	// limits are those of the current document.
	limits directory.Limits
}

func newConnTrackerFixture(t *testing.T) *connTrackerFixture {
	t.Helper()
	conn, peer := net.Pipe()
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	f := &connTrackerFixture{conn: conn, start: time.Unix(1000, 0)}
	f.tracker = newConnTracker(func() directory.Limits { return f.limits })
	return f
}

func (f *connTrackerFixture) setState(state http.ConnState, after time.Duration) {
	f.tracker.stateChanged(f.conn, state, f.start.Add(after))
}

func (f *connTrackerFixture) overdueCount(after time.Duration, limits directory.Limits) int {
	f.limits = limits
	return len(f.tracker.takeOverdue(f.start.Add(after)))
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
	f.limits = limits
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

// Guards against a connection that is closed beside a change of the limits while its caller, who
// goes by the longer ones, sends the next request on it.
func TestIdleConnKeepsTheLimitsOfItsStart(t *testing.T) {
	f := newConnTrackerFixture(t)
	f.limits = directory.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	f.setState(http.StateIdle, 0)
	shorter := directory.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: time.Second}
	longest := 3*time.Second + callerTimeoutSlack + 15*time.Second
	assert.Equal(t, f.overdueCount(longest, shorter), 0)
	f.setState(http.StateActive, longest)
	f.setState(http.StateIdle, longest)
	assert.Equal(t, f.overdueCount(2*longest, shorter), 1)
}

// Guards against a request that is read on a connection just as that is closed for its idle time,
// and forwarded although no answer can reach the caller.
func TestRequestOnAClosingConnIsNotForwarded(t *testing.T) {
	f := newFixture(t, respondWith("response"))
	tracker := newConnTracker(f.gateway.limits)
	server := &Server{Gateway: f.gateway, Logger: slog.New(slog.DiscardHandler)}
	conn, peer := net.Pipe()
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	send := func() (answer *httptest.ResponseRecorder, aborted any) {
		r := httptest.NewRequestWithContext(context.WithValue(t.Context(), connKey{}, conn), http.MethodPost, "http://h.example/once/", http.NoBody)
		r.Header.Set("Id", "1")
		r.Header.Set("Key", "k")
		answer = httptest.NewRecorder()
		defer func() { aborted = recover() }()
		server.rejectClosing(tracker).ServeHTTP(answer, r)
		return answer, nil
	}
	tracker.stateChanged(conn, http.StateIdle, time.Unix(1000, 0))
	answer, aborted := send()
	assert.Equal(t, answer.Code, http.StatusOK)
	assert.Assert(t, aborted == nil)

	assert.Equal(t, len(tracker.takeOverdue(time.Unix(2000, 0))), 1)
	tracker.stateChanged(conn, http.StateActive, time.Unix(2000, 0))
	answer, aborted = send()
	assert.Equal(t, aborted, http.ErrAbortHandler)
	assert.Equal(t, answer.Body.Len(), 0)

	tracker.stateChanged(conn, http.StateClosed, time.Unix(2000, 0))
	assert.Equal(t, len(tracker.closing), 0)
}
