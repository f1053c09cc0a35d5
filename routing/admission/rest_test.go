package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// start submits a request and returns its verdict.
func start(p *Pool, now time.Time) (*Request, Decision) {
	req := newRequest(now, 0)
	return req, p.Submit(now, req)
}

// Guards against a pause that ends early: by a shorter one in a response that was overtaken,
// a report, the success of a request that was sent before, a gap in the endpoint list, or the
// circuit breaker.
func TestRestLastsToItsEnd(t *testing.T) {
	p := enginePool(1, "a")
	before, decision := start(p, at(1))
	assert.Equal(t, decision.Verdict, Start)
	assert.Assert(t, p.Rest(at(10), Incarnation{ID: "a"}, at(3010)))
	assert.Assert(t, !p.Rest(at(11), Incarnation{ID: "a"}, at(1011)))
	p.Report("a", Report{ReceivedAt: at(500), LoadedVersion: 1})
	p.RecordProgress(at(600), "a", before.ID)
	p.Done(at(700), "a", before.ID, Served)
	p.SetEndpoints(at(800), nil)
	p.SetEndpoints(at(900), []Endpoint{{ID: "a", Region: "r", Slots: 4, LoadedVersion: 1}})
	p.Report("a", Report{ReceivedAt: at(3000), LoadedVersion: 1})
	assert.Equal(t, p.Unavailable(at(3009)).String(), "resting 1")
	assert.Assert(t, p.Resting(at(3009), "a"))
	assert.Equal(t, len(p.Unavailable(at(3010))), 0)
}

// Guards against an endpoint that is flooded when its pause ends, and asks for the next one.
func TestEndpointIsProbedAfterItsRest(t *testing.T) {
	p := plainPool("a")
	p.Rest(at(0), first("a"), at(1000))
	probe, decision := start(p, at(1000))
	assert.Equal(t, decision.Verdict, Start)
	assert.Equal(t, p.Unavailable(at(1001)).String(), "resting 1")
	p.Done(at(1010), "a", probe.ID, NotRun)
	assert.Assert(t, p.Rest(at(1010), first("a"), at(2010)))

	probe, decision = start(p, at(3100))
	assert.Equal(t, decision.Verdict, Start)
	p.Done(at(3120), "a", probe.ID, Served)
	for range 4 {
		_, decision = start(p, at(3130))
		assert.Equal(t, decision.Verdict, Start)
	}
}

// Guards against a probe that never ends: a stream from before the pause still runs.
func TestStreamFromBeforeARestIsNoProbe(t *testing.T) {
	p := plainPool("a")
	_, decision := start(p, at(0))
	assert.Equal(t, decision.Verdict, Start)
	p.Rest(at(10), first("a"), at(1000))
	_, decision = start(p, at(1000))
	assert.Equal(t, decision.Verdict, Start)
}

// Guards against a pause that passes on to the next incarnation.
func TestRestartedEndpointDoesNotRest(t *testing.T) {
	p := plainPool("a")
	p.Rest(at(0), first("a"), at(5000))
	listPlain(p, at(1000), 2, "a")
	assert.Assert(t, !p.Resting(at(1000), "a"))
}

// Guards against a pause that a suspended machine prolongs.
func TestSuspendedTimeCountsTowardsARest(t *testing.T) {
	p := plainPool("a")
	p.SetSuspended(time.Second)
	p.Rest(at(0), first("a"), at(5000))
	assert.Assert(t, p.Resting(at(4999), "a"))
	p.SetSuspended(3 * time.Second)
	assert.Assert(t, p.Resting(at(2999), "a"))
	assert.Assert(t, !p.Resting(at(3000), "a"))
}

// Guards against callers that wait for endpoints of which none takes requests, or that
// return before one does.
func TestRequestsAreRefusedUntilTheFirstRestEnds(t *testing.T) {
	p := plainPool("a", "b")
	p.Rest(at(0), first("a"), at(5000))
	p.Rest(at(0), first("b"), at(3000))
	_, decision := start(p, at(100))
	assert.Equal(t, decision.Verdict, Refuse)
	assert.Equal(t, decision.Reason, ReasonResting)
	assert.Equal(t, decision.ExpectedWait, 2900*time.Millisecond)
	_, decision = start(p, at(2500))
	assert.Equal(t, decision.Verdict, Enqueue, "the rest ends before the hard deadline")
	assert.Equal(t, len(p.Dispatch(at(3000))), 1)
}
