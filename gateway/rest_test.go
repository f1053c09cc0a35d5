package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against callers that return before the endpoints take requests again.
func TestRetryAfterOfARefusalIsTheEndOfTheRest(t *testing.T) {
	f := newFixture(t, http.NotFound)
	s := (*f.gateway.services.Load())["s"]
	const left = 7 * time.Second
	s.gate.Update(func(p *admission.Pool) {
		p.Rest(time.Now(), incarnationOf(f.directory.View().Endpoints["i-0"]), time.Now().Add(left))
	})
	response, _, err := f.send(t, "/once/", func(r *http.Request) { r.Header.Set("Left", "900") })
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	retryAfter, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Check(t, retryAfter > left-2*time.Second && retryAfter <= left+restSpread, "%v", retryAfter)
}
