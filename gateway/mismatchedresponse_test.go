package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// respondMismatched returns an endpoint whose responses belong to another request.
func respondMismatched(limit string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "other")
		if limit != "" {
			w.Header().Set("Limit", limit)
		}
		w.WriteHeader(http.StatusOK)
	}
}

// Guards against a rate limit that is not kept because the response that announced it was to
// another request: it comes from the endpoint all the same.
func TestRateLimitInAMismatchedResponseCounts(t *testing.T) {
	f := newFixture(t, respondMismatched("2"))
	_, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, f.rateLimited(), 1)
}

// Guards against a limit that ends with a response of which nobody knows when its request was
// sent.
func TestMismatchedResponseLiftsNoRateLimit(t *testing.T) {
	f := newFixture(t, respondMismatched(""))
	service := (*f.gateway.services.Load())["s"]
	endpoint := f.directory.View().Endpoints["i-0"]
	notice := admission.RateLimitNotice{Limited: true, PerSecond: 100, At: time.Now().Add(-time.Second)}
	f.gateway.applyRateLimit(service, endpoint, notice, sourceEntries)
	service.gate.Update(func(p *admission.Pool) { p.SetRateLimitShare(admission.RateLimitShare{Upper: 1, Known: true}) })
	response, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, f.rateLimited(), 1)
}

// Guards against a pause, or a departure, that is not noticed because the response that
// announced it was to another request.
func TestPauseInAMismatchedResponseCounts(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "other")
		w.Header().Set("Rest", "1m")
		w.Header().Set("Leaves", "1")
	})
	_, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	resting := false
	(*f.gateway.services.Load())["s"].gate.Inspect(func(p *admission.Pool) { resting = p.Resting(time.Now(), "i-0") })
	assert.Assert(t, resting)
	assert.Assert(t, f.directory.View().Endpoints["i-0"].Leaving)
}
