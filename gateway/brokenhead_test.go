package gateway

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/fakes"
)

// brokenHeads returns answers with a broken head or trailer. ID in them stands for that of the
// request.
func brokenHeads() map[string]string {
	answers := fakes.BrokenHeads("Id: ID\r\n", runEvent)
	maps.Copy(answers, fakes.BrokenTrailers("Id: ID\r\n", runEvent))
	return answers
}

// requestsUntilSetAside is after how many failures in a row an endpoint gets no more requests.
const requestsUntilSetAside = 2

// answerOnce returns a responder that runs the request and writes the text. It keeps the connection
// open and counts in again the requests that follow on it.
func answerOnce(text string, again *atomic.Int64) rawResponder {
	return func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
		e.runs.Add(1)
		if requestNumber > 1 {
			again.Add(1)
		}
		_, _ = io.WriteString(w, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
	}
}

// Guards against a broken head that reaches the caller as an answer, that passes for "not run", or
// whose connection carries another request.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, text := range brokenHeads() {
		for _, path := range []string{"/once/", "/again/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var again atomic.Int64
				broken := startRawEndpoint(t, answerOnce(text, &again))
				f := newRawFixture(t, 1, broken)
				for range requestsUntilSetAside {
					response, body, err := f.send(t, path, nil)
					assert.Assert(t, err != nil || response.StatusCode == http.StatusBadGateway, "got %d %q", response.StatusCode, body)
					assert.Assert(t, response.Header.Get("Not-Run") == "")
				}
				assert.Equal(t, broken.runs.Load(), int64(requestsUntilSetAside), "each request may have run")
				assert.Equal(t, again.Load(), int64(0), "the connection carried another request")
			})
		}
	}
}

// Guards against a repeatable request that fails with its first endpoint, and against another one
// that runs twice.
func TestBrokenHeadIsAFailureOfItsEndpoint(t *testing.T) {
	sound := map[string]string{"/once/": "", "/again/": runEvent, "/stream/": runEvent}
	for name, text := range brokenHeads() {
		for path, want := range sound {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				broken := startRawEndpoint(t, answerOnce(text, new(atomic.Int64)))
				f := newRawFixture(t, 2, broken)
				var log logRecorder
				f.gateway.deps.Logger = log.logger()
				second := startRawEndpoint(t, answerAfter(""))
				f.addWhenReached(broken, second)
				response, body, err := f.send(t, path, nil)
				failure := log.lines(t, "attempt failed")[0]
				assert.Equal(t, failure["endpoint"], "i-0")
				assert.Equal(t, failure["request"], "42")
				// net/http refuses these statuses with an error of no type.
				refused := strings.Contains(failure["error"].(string), "malformed HTTP status code")
				assert.Assert(t, failure["fault"] != nil || refused, "the line does not tell what was broken: %v", failure["error"])
				if path == "/stream/" && strings.HasSuffix(name, "trailer") {
					assert.Assert(t, err != nil, "the stream looks complete: %q", body)
					return
				}
				assert.NilError(t, err)
				if want == "" {
					assert.Equal(t, response.StatusCode, http.StatusBadGateway)
					assert.Equal(t, second.runs.Load(), int64(0))
					return
				}
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, want)
			})
		}
	}
}
