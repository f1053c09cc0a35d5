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
	until := time.Now().Add(left)
	s.gate.Update(func(p *admission.Pool) {
		p.Rest(time.Now(), incarnationOf(f.directory.View().Endpoints["i-0"]), until)
	})
	response, _, err := f.send(t, "/once/", func(r *http.Request) { r.Header.Set("Left", "900") })
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	retryAfter, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	// Retry-After has two decimals, so that it is up to 5 ms off.
	const rounding = 5 * time.Millisecond
	assert.Check(t, retryAfter >= time.Until(until)-rounding && retryAfter <= left+restSpread+rounding, "%v", retryAfter)
}
