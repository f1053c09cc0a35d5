package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against a request that is sent to an endpoint that wants none since it was chosen, as
// when the process stood still between the choice and the sending.
func TestRequestIsNotSentToAnEndpointThatBecameUnavailable(t *testing.T) {
	for reason, change := range map[admission.Unavailability]func(*fixture){
		admission.UnavailableResting: func(f *fixture) {
			(*f.gateway.services.Load())["s"].gate.Update(func(p *admission.Pool) {
				p.Rest(time.Now(), incarnationOf(f.directory.View().Endpoints["i-0"]), time.Now().Add(time.Minute))
			})
		},
		admission.UnavailableLeaving: func(f *fixture) {
			f.directory.SetLeaving("i-0", f.directory.View().Endpoints["i-0"].StartedUnixMS)
		},
		admission.UnavailableDraining: func(f *fixture) {
			draining := *f.directory.View().Endpoints["i-0"]
			draining.Draining = true
			f.directory.PutEndpoint(&draining)
		},
		admission.UnavailableEvacuated: func(f *fixture) {
			f.directory.SetEvacuated(map[string]directory.Evacuation{"": {Revision: 1}})
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			var arrivals atomic.Int64
			f := newFixture(t, func(http.ResponseWriter, *http.Request) { arrivals.Add(1) })
			s := (*f.gateway.services.Load())["s"]
			inTime := time.Now().Add(time.Minute)
			grant, err := s.gate.Acquire(t.Context(), admission.Request{ArrivedAt: time.Now(), SoftDeadline: inTime, HardDeadline: inTime})
			assert.NilError(t, err)
			change(f)
			req := &request{service: s, route: f.directory.View().Document.Match("h.example", "/again/")}
			httpRequest := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/again/", http.NoBody)
			attempt, mayHaveRun, err := f.gateway.send(t.Context(), httpRequest, req, grant, "")
			attempt.end(attemptOutcome(t.Context(), err))
			var unavailable *UnavailableError
			assert.Assert(t, errors.As(err, &unavailable))
			assert.Equal(t, unavailable.Reason, reason)
			assert.Assert(t, !mayHaveRun)
			assert.Equal(t, arrivals.Load(), int64(0))
		})
	}
}

// Guards against an entry that believes of a new incarnation what the one before it said.
func TestNextIncarnationOfALeavingEndpointGetsRequests(t *testing.T) {
	f := newFixture(t, respondWith("ok"))
	first := *f.directory.View().Endpoints["i-0"]
	first.StartedUnixMS = 1
	f.directory.PutEndpoint(&first)
	assert.Assert(t, f.directory.SetLeaving("i-0", 1))
	assert.Assert(t, !f.directory.SetLeaving("i-0", 1), "it is known")
	f.directory.PutEndpoint(&directory.Endpoint{ID: "i-0", Service: "s", Address: first.Address, Region: "r", Slots: 4, StartedUnixMS: 2})
	assert.Assert(t, !f.directory.SetLeaving("i-0", 1), "a response of the one before arrives late")
	assert.Assert(t, !f.directory.View().Endpoints["i-0"].Draining)
	response, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
