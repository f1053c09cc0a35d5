package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// maxCrashesBeforePartQuarantine is the number of endpoints that a part of a prompt may
// crash, by however many requests, before no request with it is sent to any.
const maxCrashesBeforePartQuarantine = 5

// withParts replaces the body of a request and sets the parts of its prompt but the last.
func withParts(body string, parts ...string) func(*http.Request) {
	return func(r *http.Request) {
		withBody(body)(r)
		r.Header.Set("Parts", strings.Join(parts, ","))
	}
}

// Guards against a part of prompts that crashes endpoint after endpoint: no two requests
// with it are alike, so that none is known, and the first part is one of sound requests too.
func TestPartThatCrashesEndpointsIsQuarantined(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 3)
	served := func(body string, parts ...string) bool {
		response, _, err := f.send(t, "/stream/", withParts(body, parts...))
		assert.NilError(t, err)
		endpoints.restartCrashed()
		return response.StatusCode == http.StatusOK
	}
	for i := range 20 {
		assert.Assert(t, !served(fmt.Sprint("request ", i), "common", deadlyPart))
		assert.Assert(t, served(fmt.Sprint("sound request ", i), "common", fmt.Sprint("part ", i)))
		assert.Assert(t, served(fmt.Sprint("short request ", i), "common"))
	}
	assert.Assert(t, endpoints.crashCount() <= maxCrashesBeforePartQuarantine, "%d endpoints crashed", endpoints.crashCount())
}
