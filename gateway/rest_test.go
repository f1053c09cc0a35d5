package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against a request that is sent to an endpoint that asked for a pause between the
// choice and the sending, as when the process stood still.
func TestRequestIsNotSentToAnEndpointThatRestsSinceTheChoice(t *testing.T) {
	var arrivals atomic.Int64
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { arrivals.Add(1) })
	s := (*f.gateway.services.Load())["s"]
	now := time.Now()
	grant, err := s.gate.Acquire(t.Context(), admission.Request{ArrivedAt: now, SoftDeadline: now.Add(time.Minute), HardDeadline: now.Add(time.Minute)})
	assert.NilError(t, err)
	s.gate.Update(func(p *admission.Pool) { p.Rest(now, grant.EndpointID, now.Add(time.Minute)) })
	req := &request{service: s, route: f.directory.View().Document.Match("h.example", "/again/")}
	attempt, mayHaveRun, err := f.gateway.send(t.Context(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/again/", http.NoBody), req, grant, "")
	attempt.end(attemptOutcome(t.Context(), err))
	var resting *RestingError
	assert.Assert(t, errors.As(err, &resting))
	assert.Assert(t, !mayHaveRun)
	assert.Equal(t, arrivals.Load(), int64(0))
}

// Guards against callers that return before the endpoints take requests again.
func TestRetryAfterOfARefusalIsTheEndOfTheRest(t *testing.T) {
	f := newFixture(t, http.NotFound)
	s := (*f.gateway.services.Load())["s"]
	const left = 7 * time.Second
	s.gate.Update(func(p *admission.Pool) { p.Rest(time.Now(), "i-0", time.Now().Add(left)) })
	response, _, err := f.send(t, "/once/", func(r *http.Request) { r.Header.Set("Left", "900") })
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	retryAfter, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Check(t, retryAfter > left-2*time.Second && retryAfter <= left+restSpread, "%v", retryAfter)
}
