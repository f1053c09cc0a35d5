package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
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
		s.fixture.directory.PutEndpoint(&directory.Endpoint{
			ID: restartedID, Service: "s", Address: e.address, Region: "r", Slots: 4, StartedUnixMS: 100,
		})
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
// refused, the second meets its connection.
func TestCopyOfARefusalIsNoRefusalOfAnotherRequestWithItsID(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		refused := false
		refusal := refusalText("42", http.StatusServiceUnavailable, "")
		endpoint := startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
			if !refused {
				refused = true
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
