package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// plainPool returns a pool of endpoints with four slots each and without agents.
func plainPool(ids ...string) *Pool {
	p := NewPool(Config{Region: "r", InitialServiceTime: 20 * time.Millisecond})
	listPlain(p, at(-1000), 1, ids...)
	return p
}

// first returns the first incarnation of an endpoint of a plainPool.
func first(id string) Incarnation {
	return Incarnation{ID: id, StartedUnixMS: 1}
}

// listPlain lists the endpoints of a plainPool, all with the same start time.
func listPlain(p *Pool, now time.Time, startedUnixMS int64, ids ...string) {
	var endpoints []Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, Endpoint{ID: id, Region: "r", Slots: 4, StartedUnixMS: startedUnixMS})
	}
	p.SetEndpoints(now, endpoints)
}

// announce records a rate limit of endpoint "a".
func announce(p *Pool, now time.Time, perSecond float64) {
	p.RecordRateLimit(first("a"), RateLimitNotice{Limited: true, PerSecond: perSecond, At: now})
}

// lift records that endpoint "a" has had no rate limit since a time.
func lift(p *Pool, since time.Time) {
	p.RecordRateLimit(first("a"), RateLimitNotice{At: since})
}

// startAll submits requests of low rank every 10 ms from one time to another, each of which
// ends at once, and returns how many of them started.
func startAll(p *Pool, fromMS, toMS int) (started int) {
	for ms := fromMS; ms < toMS; ms += 10 {
		req := newRequest(at(ms), 9)
		decision := p.Submit(at(ms), req)
		if decision.Verdict == Start {
			started++
			p.Done(at(ms), decision.EndpointID, req.ID, Served)
		}
		p.Remove(req.ID)
	}
	return started
}

// Guards against an endpoint whose limit is lifted by a response that is older than the one
// that announced it, and against one whose limit is never lifted.
func TestRateLimitEndsWithResponsesToLaterRequests(t *testing.T) {
	p := plainPool("a")
	announce(p, at(1000), 2)
	lift(p, at(900))
	assert.Equal(t, p.RateLimited(), 1)
	lift(p, at(1000))
	assert.Equal(t, p.RateLimited(), 1)
	lift(p, at(1001))
	assert.Equal(t, p.RateLimited(), 0)
	assert.Equal(t, startAll(p, 1100, 2100), 100)
	announce(p, at(1000), 2)
	assert.Equal(t, p.RateLimited(), 0)
}

// Guards against a limit that is forgotten while its endpoint is missing from the list.
func TestRateLimitOutlivesAGapInTheEndpointList(t *testing.T) {
	p := plainPool("a", "b")
	announce(p, at(0), 1)
	listPlain(p, at(1000), 1, "b")
	assert.Equal(t, p.RateLimited(), 0)
	listPlain(p, at(3000), 1, "a", "b")
	assert.Equal(t, p.RateLimited(), 1)
}

// Guards against a limit that passes on to the next incarnation of an endpoint.
func TestRestartedEndpointHasNoRateLimit(t *testing.T) {
	p := plainPool("a")
	announce(p, at(0), 1)
	listPlain(p, at(1000), 2, "a")
	assert.Equal(t, p.RateLimited(), 0)
	assert.Equal(t, startAll(p, 1000, 2000), 100)
}

// Guards against an endpoint that is lost for good because it once announced a limit of 0.
func TestRateLimitOfZeroLetsAFewRequestsFindOutWhetherItEnded(t *testing.T) {
	p := plainPool("a")
	announce(p, at(0), 0)
	started := startAll(p, 3000, 63_000)
	assert.Check(t, started >= 5 && started <= 7, "%d requests", started)
}

// Guards against callers that are told to wait for slots that a limit leaves unused.
func TestRequestsBeyondTheRateLimitsOfAllEndpointsAreRefusedAtOnce(t *testing.T) {
	p := plainPool("a")
	announce(p, at(0), 1)
	startAll(p, 0, 10_000)
	decision := p.Submit(at(10_000), newRequest(at(10_000), 0))
	assert.Equal(t, decision.Verdict, Refuse)
	assert.Equal(t, decision.Reason, ReasonFull)
	assert.Check(t, decision.ExpectedWait >= 900*time.Millisecond, "%v", decision.ExpectedWait)
}

// Guards against less urgent requests that use up a rate limit.
func TestUrgentRequestsGoFirstWithinARateLimit(t *testing.T) {
	p := plainPool("a")
	announce(p, at(0), 8)
	startAll(p, 0, 1000)
	later, urgent := newRequest(at(1000), 3), newRequest(at(1001), 0)
	assert.Equal(t, p.Submit(at(1000), later).Verdict, Enqueue)
	assert.Equal(t, p.Submit(at(1001), urgent).Verdict, Enqueue)
	assignments := p.Dispatch(at(1130))
	assert.Equal(t, len(assignments), 1)
	assert.Equal(t, assignments[0].Request, urgent)
}

// Guards against requests that pass by a rate limit, since everything that reaches the
// endpoint counts: resumed streams, retries, probes of the circuit breaker.
func TestEveryKindOfRequestCountsTowardsTheRateLimit(t *testing.T) {
	p := plainPool("a")
	announce(p, at(0), 1)
	started := 0
	for ms := 0; ms < 4000; ms += 10 {
		req := newRequest(at(ms), 0)
		req.Resumed = ms%20 == 0
		req.ClientRetry = ms%30 == 0
		decision := p.Submit(at(ms), req)
		if decision.Verdict == Start {
			started++
			p.Done(at(ms), decision.EndpointID, req.ID, Failed)
		}
		p.Remove(req.ID)
	}
	assert.Check(t, started >= 1 && started <= 5, "%d requests", started)
}
