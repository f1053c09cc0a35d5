package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// withBody replaces the body of a request.
func withBody(body string) func(*http.Request) {
	return func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
}

// maxCrashesBeforeQuarantine is the number of endpoints that a request may crash before
// it is no longer sent to any.
const maxCrashesBeforeQuarantine = 3

// Guards against a request that crashes endpoint after endpoint: each attempt of its
// caller started from nothing, so it was sent to endpoints for as long as it came.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		f := newFixture(t)
		endpoints := newCrashingEndpoints(t, f, 3)
		status := 0
		for range 10 {
			response, _, err := f.send(t, path, withBody(deadlyBody))
			assert.NilError(t, err)
			status = response.StatusCode
			endpoints.restartCrashed()
		}
		assert.Assert(t, endpoints.crashCount() <= maxCrashesBeforeQuarantine, "%s: %d endpoints crashed", path, endpoints.crashCount())
		assert.Equal(t, status, http.StatusServiceUnavailable, "a request that isn't sent on has not run")

		response, body, err := f.send(t, path, withBody("sound"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, soundResponse)
	}
}
