package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/sharedrate"
)

// Guards against a request that costs slots, tokens, quota, usage or trust in an endpoint to which
// nothing was sent, and against one that counts twice as an arrival.
func TestRequestThatWasNotSentLeavesNoTrace(t *testing.T) {
	p := enginePool(2, "a")
	p.RecordRateLimit(Incarnation{ID: "a"}, RateLimitNotice{Limited: true, PerSecond: 10, At: at(0)})
	limit := p.rateLimits["a"]
	limit.bucket = sharedrate.NewBucket(at(1), 3)
	allowance := sharedrate.Allowance{PerSecond: 0.001, Burst: 100, MaxDebt: 1}
	p.Report("a", Report{ReceivedAt: at(1), Running: 1, LoadedVersion: 1, Demand: 5})
	p.endpoints["a"].quota.remaining = 2
	p.addUsage(at(1), newRequest(at(1), 0))
	before := *p.endpoints["a"]
	tokens, usage := limit.bucket.Level(at(1), allowance), p.usage["o"]
	req := newRequest(at(2), 0)
	assert.Equal(t, p.Submit(at(2), req).Verdict, Start)
	assert.Assert(t, !p.Done(at(3), "a", req.ID, NotSent))
	after := p.endpoints["a"]
	assert.Equal(t, len(after.inFlight), 0)
	assert.Equal(t, after.quota, before.quota)
	assert.Equal(t, after.breaker, before.breaker)
	assert.Equal(t, after.endedSinceReport, before.endedSinceReport)
	assert.Equal(t, after.notRunAt, before.notRunAt)
	left := limit.bucket.Level(at(3), allowance)
	assert.Assert(t, left >= tokens && left < tokens+0.1, "%v", left)
	assert.Equal(t, p.usage["o"], usage)
	assert.Equal(t, p.meanServiceTime, time.Second)
	arrivals := p.arrivalsByRank[0].count
	req.Requeued = true
	req.ExcludedEndpoints = []string{"a"}
	p.Submit(at(4), req)
	assert.Equal(t, p.arrivalsByRank[0].count, arrivals)
}

// Guards against a quota that a report has set anew and that gets back what it never lost.
func TestQuotaOfALaterReportIsNotRaised(t *testing.T) {
	p := enginePool(1, "a")
	req := newRequest(at(2), 0)
	p.Submit(at(2), req)
	p.Report("a", Report{ReceivedAt: at(3), LoadedVersion: 1, Demand: 1})
	remaining := p.endpoints["a"].quota.remaining
	p.Done(at(4), "a", req.ID, NotSent)
	assert.Equal(t, p.endpoints["a"].quota.remaining, remaining)
}
