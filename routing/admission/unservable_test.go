package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evacuatedPool returns a pool of engines of which those with an ID in evacuated are.
func evacuatedPool(ids []string, evacuated ...string) *Pool {
	p := enginePool(1, ids...)
	setEvacuated(p, ids, evacuated...)
	return p
}

func setEvacuated(p *Pool, ids []string, evacuated ...string) {
	var endpoints []Endpoint
	for _, id := range ids {
		e := Endpoint{ID: id, Region: "r", Slots: 4, LoadedVersion: 1}
		for _, other := range evacuated {
			e.Evacuated = e.Evacuated || id == other
		}
		endpoints = append(endpoints, e)
	}
	p.SetEndpoints(at(0), endpoints)
}

// Guards against callers that wait for their whole patience for endpoints that are out of use.
func TestRequestIsRefusedAtOnceIfAllIsEvacuated(t *testing.T) {
	ids := []string{"a", "b"}
	p := evacuatedPool(ids, "a", "b")
	refused := p.Submit(at(1), newRequest(at(1), 0))
	assert.Equal(t, refused.Verdict, Refuse)
	assert.Equal(t, refused.Reason, ReasonNoEndpoint)
	assert.Equal(t, refused.ExpectedWait, unservableWait)
	assert.Equal(t, refused.Unavailable.String(), "evacuated 2")

	resumed := newRequest(at(1), 0)
	resumed.Resumed = true
	assert.Equal(t, p.Submit(at(1), resumed).Verdict, Enqueue, "its caller has a part of the response")
	setEvacuated(p, ids, "b")
	assignments := p.Dispatch(at(2))
	assert.Equal(t, len(assignments), 1)
	assert.Equal(t, assignments[0].EndpointID, "a")
}

// Guards against a Retry-After that is too short for endpoints that asked for a pause.
func TestRequestsWaitForAnEndpointThatOnlyRests(t *testing.T) {
	p := evacuatedPool([]string{"a", "b"}, "b")
	assert.Assert(t, p.Rest(at(1), Incarnation{ID: "a"}, at(5000)))
	refused := p.Submit(at(1), newRequest(at(1), 0))
	assert.Equal(t, refused.Reason, ReasonResting)
	assert.Equal(t, refused.ExpectedWait, 4999*time.Millisecond)
}

// Guards against requests that go on waiting after the last endpoint was evacuated.
func TestWaitingRequestIsRefusedWhenAllIsEvacuated(t *testing.T) {
	g := newTestGate()
	for range 4 {
		_, err := g.Acquire(t.Context(), *newRequest(at(1), 0))
		assert.NilError(t, err)
	}
	ended := make(chan error, 1)
	go func() {
		req := newRequest(at(1), 0)
		req.HardDeadline = at(1).Add(time.Hour)
		req.SoftDeadline = req.HardDeadline
		_, err := g.Acquire(t.Context(), *req)
		ended <- err
	}()
	for waiting := 0; waiting == 0; {
		g.Inspect(func(p *Pool) { waiting = p.Waiting() })
	}
	g.Update(func(p *Pool) { setEvacuated(p, []string{"a"}, "a") })
	var refused *RefusedError
	assert.Assert(t, errors.As(<-ended, &refused))
	assert.Equal(t, refused.Reason, ReasonNoEndpoint)
	assert.Equal(t, refused.Unavailable.String(), "evacuated 1")
}

// Load: a third of the engines is evacuated in a burst of the least urgent requests, which alone is
// beyond the capacity that is left. Guards against urgent requests that are refused or late for it,
// and against least urgent ones that wait in vain.
func TestUrgentRequestsAreServedInABurstWhileAThirdIsEvacuated(t *testing.T) {
	const urgentPerSecond, burstPerSecond = 10, 50
	// Equal times would end all requests of a full pool within the same half second, so that no slot
	// became free in the other half.
	serviceMS := func(startMS int) int { return 400 + startMS/10*37%1200 }
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprint("i-", i))
	}
	p := enginePool(1, ids...)
	type running struct {
		endpoint string
		id       uint64
		endsAt   int
	}
	var active []running
	load := make(map[string]int)
	waiting := make(map[uint64]*Request)
	served, refused := map[int]int{}, map[int]int{}
	start := func(ms int, req *Request, endpoint string) {
		assert.Assert(t, ms < 1000 || endpoint >= "i-3", "%s is evacuated", endpoint)
		active = append(active, running{endpoint, req.ID, ms + serviceMS(ms)})
		load[endpoint]++
		served[req.Rank]++
	}
	for ms := 0; ms < 8000; ms += 10 {
		if ms == 1000 {
			setEvacuated(p, ids, ids[:3]...)
		}
		stillActive := active[:0]
		for _, r := range active {
			if r.endsAt > ms {
				stillActive = append(stillActive, r)
				continue
			}
			load[r.endpoint]--
			p.Done(at(ms), r.endpoint, r.id, Served)
		}
		active = stillActive
		if ms%100 == 0 {
			for _, id := range ids {
				p.Report(id, Report{ReceivedAt: at(ms), Running: load[id], LoadedVersion: 1})
			}
		}
		for _, assignment := range p.Dispatch(at(ms)) {
			delete(waiting, assignment.Request.ID)
			start(ms, assignment.Request, assignment.EndpointID)
		}
		for id, req := range waiting {
			if at(ms).After(req.HardDeadline) {
				p.Remove(id)
				delete(waiting, id)
				refused[req.Rank]++
			}
		}
		for rank, perSecond := range map[int]int{0: urgentPerSecond, 2: burstPerSecond} {
			if ms*perSecond/1000 == (ms-10)*perSecond/1000 {
				continue
			}
			req := newRequest(at(ms), rank)
			switch d := p.Submit(at(ms), req); d.Verdict {
			case Start:
				start(ms, req, d.EndpointID)
			case Enqueue:
				waiting[req.ID] = req
			case Refuse:
				refused[rank]++
			}
		}
	}
	t.Logf("served %v, refused %v", served, refused)
	assert.Assert(t, refused[0]*100 <= served[0], "urgent: %d served, %d refused", served[0], refused[0])
	assert.Assert(t, served[2] > 70, "least urgent: %d served, %d refused", served[2], refused[2])
	assert.Assert(t, refused[2] > 200, "least urgent: %d served, %d refused", served[2], refused[2])
}
