package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// restartedID is the ID under which an endpoint is listed again at its old address.
const restartedID = "restarted"

// restartedEndpoint refuses a request and is listed under another ID, at the same address,
// before the refusal arrives. It then runs the request, and writes the refusal once more if the
// request came on the same connection.
type restartedEndpoint struct {
	fixture *fixture
	refusal string
	// pause is between the two refusals and the response, so that they arrive apart.
	pause time.Duration
	// other is listed once the restarted endpoint runs the request, nil for none.
	other *rawEndpoint
}

func (s *restartedEndpoint) respond(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
	if r.Header.Get("Endpoint") != restartedID {
		s.fixture.listRestarted(e.address)
		_, _ = io.WriteString(w, s.refusal)
		return
	}
	response := e.run(r)
	if s.other != nil {
		s.fixture.addEndpoint(s.other.address)
	}
	if requestNumber > 1 {
		_, _ = io.WriteString(w, s.refusal)
		time.Sleep(s.pause)
	}
	_, _ = io.WriteString(w, response)
}

// listRestarted lists the endpoint at an address under another ID.
func (f *fixture) listRestarted(address string) {
	f.directory.PutEndpoint(&directory.Endpoint{
		ID: restartedID, Service: "s", Address: address, Region: "r", Slots: 4, StartedUnixMS: 100,
	})
}

// refusalCopies returns the refusals of request 42 that an endpoint writes twice.
func refusalCopies() map[string]string {
	return map[string]string{
		"421":           refusalText("42", http.StatusMisdirectedRequest, ""),
		"429":           refusalText("42", http.StatusTooManyRequests, ""),
		"503":           refusalText("42", http.StatusServiceUnavailable, ""),
		"503 with body": refusalText("42", http.StatusServiceUnavailable, "full"),
	}
}

// Guards against a request that must run once and runs at two endpoints: the copy of a refusal,
// with the ID of the request, arrives while the request is in progress again on the connection
// that carried the refusal.
func TestCopyOfARefusalSendsNoRequestToASecondEndpoint(t *testing.T) {
	for name, refusal := range refusalCopies() {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			t.Run(fmt.Sprint(name, pause), func(t *testing.T) {
				t.Parallel()
				other := startRawEndpoint(t, answerAfter(""))
				restarted := &restartedEndpoint{refusal: refusal, pause: pause, other: other}
				endpoint := startRawEndpoint(t, restarted.respond)
				restarted.fixture = newRawFixture(t, 2, endpoint)
				response, body, err := restarted.fixture.sendAs(t, "42", "/once/")
				assert.NilError(t, err)
				assert.Equal(t, endpoint.runs.Load()+other.runs.Load(), int64(1))
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, runEvent)
			})
		}
	}
}

// Guards against a log that does not tell the copy of a refusal from a second refusal: both have
// the request's ID, but only the copy arrives on the connection of the first attempt.
func TestLogTellsOnWhichConnectionAnAttemptFailed(t *testing.T) {
	endpoint := startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
		if requestNumber == 1 {
			_, _ = io.WriteString(w, e.run(r))
			return
		}
		_, _ = io.WriteString(w, refusalText(r.Header.Get("Id"), http.StatusServiceUnavailable, ""))
	})
	f := newRawFixture(t, 1, endpoint)
	var logs logRecorder
	f.gateway.deps.Logger = logs.logger()
	for _, id := range []string{"41", "42"} {
		_, _, err := f.sendAs(t, id, "/once/")
		assert.NilError(t, err)
	}
	lines := logs.lines(t, "attempt failed")
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0]["attempt"], 1.0)
	assert.Equal(t, lines[0]["address"], endpoint.address)
	assert.Assert(t, lines[0]["connection"].(float64) > 0)
	assert.Equal(t, lines[0]["use"], 2.0)
	assert.Equal(t, lines[0]["response_id"], "42")
	assert.Assert(t, lines[0]["first_byte_ms"] != nil)
}

// Guards against "not run" for a request that an endpoint runs, and against a lost response, for
// the same reason.
func TestCopyOfARefusalIsNoRefusalOfTheRunInProgress(t *testing.T) {
	for name, refusal := range refusalCopies() {
		for _, path := range []string{"/once/", "/again/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				restarted := &restartedEndpoint{refusal: refusal}
				endpoint := startRawEndpoint(t, restarted.respond)
				restarted.fixture = newRawFixture(t, 2, endpoint)
				response, body, err := restarted.fixture.sendAs(t, "42", path)
				assert.NilError(t, err)
				assert.Equal(t, endpoint.runs.Load(), int64(1))
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, runEvent)
			})
		}
	}
}

// Guards against the same for two requests with one ID, of one caller or of two: the first is
// refused, the second meets its connection when the endpoint has started anew.
func TestCopyOfARefusalIsNoRefusalOfAnotherRequestWithItsID(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		refusal := refusalText("42", http.StatusServiceUnavailable, "")
		endpoint := startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
			if r.Header.Get("Endpoint") != restartedID {
				_, _ = io.WriteString(w, refusal)
				return
			}
			text := e.run(r)
			if requestNumber > 1 {
				text = refusal + text
			}
			_, _ = io.WriteString(w, text)
		})
		f := newRawFixture(t, 1, endpoint)
		for i, status := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			response, _, err := f.sendAs(t, "42", path)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, status, "%s request %d", path, i)
			f.listRestarted(endpoint.address)
		}
		assert.Equal(t, endpoint.runs.Load(), int64(1), path)
	}
}

// Guards against any answer that counts as the response to a request without an ID, as no ID
// tells to which request it belongs: a refusal would send a request to a second endpoint.
func TestRequestWithoutIDIsNotForwarded(t *testing.T) {
	refusal := refusalText("", http.StatusServiceUnavailable, "")
	endpoints := []*rawEndpoint{startRawEndpoint(t, answerAfter(refusal)), startRawEndpoint(t, answerAfter(refusal))}
	f := newRawFixture(t, 2, endpoints...)
	response, _, err := f.sendAs(t, "", "/once/")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.Equal(t, endpoints[0].runs.Load()+endpoints[1].runs.Load(), int64(0))
}

// Guards against the same where the connection no longer knows the ID, as many other requests have
// passed over it: all attempts of a request know the connections of the earlier ones.
func TestAttemptsOfARequestShareItsConnections(t *testing.T) {
	endpoint := startRawEndpoint(t, func(_ *rawEndpoint, w io.Writer, r *http.Request, _ int) {
		_, _ = io.WriteString(w, refusalText(r.Header.Get("Id"), http.StatusServiceUnavailable, ""))
	})
	f := newRawFixture(t, 1, endpoint)
	r := httptest.NewRequest(http.MethodPost, "/once/", http.NoBody)
	req := &request{} // Without an ID, so that only the connections are compared.
	for i := range 3 {
		response, progress, err := f.gateway.roundTrip(t.Context(), r, req, f.directory.View().Endpoints["i-0"], "")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		_, use := progress.Connection()
		assert.Equal(t, use, int64(1), "attempt %d", i+1)
	}
}

// Guards against a sound endpoint that gets no more requests because callers use one ID again and
// again, so that no kept connection may carry theirs.
func TestConnectionsMetAgainAreNoFailureOfTheEndpoint(t *testing.T) {
	assert.Equal(t, attemptOutcome(t.Context(), ErrConnectionsMetAgain), admission.Cancelled)
}
