package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rankPattern describes the requests of one rank at an entry.
type rankPattern struct {
	perSecond  float64
	soft, hard time.Duration
}

// Guards against urgent requests that are refused while less urgent ones, which may wait for
// longer, use up the rate limits of all endpoints. Requests of three ranks arrive at random,
// more than two and a half times as many as the limits allow.
func TestUrgentRequestsAreServedFirstWhenAllEndpointsAreLimited(t *testing.T) {
	const (
		endpoints   = 19
		limit       = 2.0
		step        = 10 * time.Millisecond
		duration    = 40 * time.Second
		serviceTime = 1200 * time.Millisecond
	)
	ranks := []rankPattern{
		{perSecond: 6.6, soft: 125 * time.Millisecond, hard: 850 * time.Millisecond},
		{perSecond: 7.8, soft: 280 * time.Millisecond, hard: time.Second},
		{perSecond: 5.6, soft: 680 * time.Millisecond, hard: 1400 * time.Millisecond},
	}
	p := NewPool(Config{Region: "r", InitialServiceTime: serviceTime})
	var listed []Endpoint
	for i := range endpoints {
		listed = append(listed, Endpoint{ID: fmt.Sprint("i-", i), Region: "r", Slots: 16, StartedUnixMS: 1})
	}
	p.SetEndpoints(epoch, listed)
	p.SetRateLimitShare(RateLimitShare{Lower: 0.4, Upper: 0.6, Known: true})
	for _, e := range listed {
		p.RecordRateLimit(first(e.ID), RateLimitNotice{Limited: true, PerSecond: limit, At: epoch})
	}
	type runningRequest struct {
		endpointID string
		id         uint64
		endsAt     time.Time
	}
	var running []runningRequest
	sent, served := make([]int, len(ranks)), make([]int, len(ranks))
	start := func(now time.Time, req *Request, endpointID string) {
		served[req.Rank]++
		running = append(running, runningRequest{endpointID: endpointID, id: req.ID, endsAt: now.Add(serviceTime)})
	}
	random := rand.New(rand.NewPCG(1, 2))
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(step) {
		for len(running) > 0 && !running[0].endsAt.After(now) {
			p.Done(now, running[0].endpointID, running[0].id, Served)
			running = running[1:]
		}
		for _, assignment := range p.Dispatch(now) {
			start(now, assignment.Request, assignment.EndpointID)
		}
		for _, req := range append([]*Request(nil), p.waiting...) {
			if now.After(req.SoftDeadline) {
				p.Remove(req.ID)
			}
		}
		for rank, pattern := range ranks {
			if random.Float64() >= pattern.perSecond*step.Seconds() {
				continue
			}
			req := newRequest(now, rank)
			req.SoftDeadline, req.HardDeadline = now.Add(pattern.soft), now.Add(pattern.hard)
			sent[rank]++
			if decision := p.Submit(now, req); decision.Verdict == Start {
				start(now, req, decision.EndpointID)
			}
		}
	}
	total := served[0] + served[1] + served[2]
	used := float64(total) / (endpoints * limit * 0.2 * duration.Seconds())
	assert.Check(t, float64(served[0]) >= 0.8*float64(sent[0]), "%d of %d urgent requests, %d of %d, %d of %d", served[0], sent[0], served[1], sent[1], served[2], sent[2])
	assert.Check(t, used >= 0.85, "%.2f of the limits used", used)
}
