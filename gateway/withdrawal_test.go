package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against a request that ends, or takes retries, since the endpoints that were chosen for it
// were withdrawn before it was sent. Here the pool does not know yet that they are evacuated. The
// only retry goes to the first endpoint, which does not run the request.
func TestWithdrawalsEndNoRequestAndTakeNoRetry(t *testing.T) {
	const withdrawn = maxFailedEndpoints + 1
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		var first, there, last atomic.Int64
		endpoints := []http.HandlerFunc{countArrivals(&first, rejectNotRun)}
		for range withdrawn {
			endpoints = append(endpoints, countArrivals(&there, respondWith("x")))
		}
		f := newFixture(t, append(endpoints, countArrivals(&last, respondWith("id: 1\ndata: 1\n\n")))...)
		var listed []admission.Endpoint
		for i := range len(endpoints) + 1 {
			listed = append(listed, admission.Endpoint{ID: fmt.Sprint("i-", i), Region: "elsewhere", Slots: 4, StartedUnixMS: int64(i)})
			if i > 0 && i <= withdrawn {
				f.place(listed[i].ID, "a")
			}
		}
		listed[0].Region = "r"
		service := (*f.gateway.services.Load())["s"]
		service.retryBudget = budgetOf(1)
		f.evacuate("a")
		service.gate.Update(func(p *admission.Pool) {
			p.SetEndpoints(time.Now(), listed)
			p.Report(listed[withdrawn+1].ID, admission.Report{ReceivedAt: time.Now().Add(time.Minute), Running: 3})
		})
		response, _, err := f.send(t, path, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, path)
		assert.DeepEqual(t, []int64{first.Load(), there.Load(), last.Load()}, []int64{1, 0, 1})
		assert.Equal(t, drainRetries(service.retryBudget), 0, "the one retry was taken")
	}
}

// Guards against a withdrawal that counts as a failure, or as a further arrival of its request, and
// against a choice of the same endpoint again.
func TestWithdrawnAttemptIsNoFailure(t *testing.T) {
	f := newFixture(t, respondWith("x"))
	req, httpRequest := f.prepared(t)
	grant, err := f.gateway.acquireSlot(t.Context(), req, false)
	assert.NilError(t, err)
	f.evacuate("")
	attempt, mayHaveRun, err := f.gateway.send(t.Context(), httpRequest, req, grant, "")
	f.gateway.recordFailedAttempt(t.Context(), req, attempt, mayHaveRun, attemptOutcome(t.Context(), err), err)
	assert.Assert(t, requeues(t.Context(), err))
	assert.Equal(t, len(req.failedEndpointIDs), 0)
	next := req.admissionRequest(time.Now(), false)
	assert.Assert(t, next.Requeued)
	assert.DeepEqual(t, next.ExcludedEndpoints, []string{"i-0"})
}
