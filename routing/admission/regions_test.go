package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

// regionPool returns a pool of two engines of 4 slots in each region, which have IDs as r1-0.
func regionPool(regions ...string) *Pool {
	p := NewPool(Config{Region: regions[0], AgentReports: true, InitialServiceTime: time.Second})
	var endpoints []Endpoint
	for _, region := range regions {
		for i := range 2 {
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprint(region, "-", i), Region: region, Slots: 4, LoadedVersion: 1})
		}
	}
	p.SetEndpoints(at(-1000), endpoints)
	for _, e := range endpoints {
		p.Report(e.ID, Report{ReceivedAt: at(0), LoadedVersion: 1})
	}
	return p
}

// requestIn returns a request that may use some regions only, all without one.
func requestIn(now time.Time, rank int, regions ...string) *Request {
	req := newRequest(now, rank)
	req.Regions = core.NewRegionSet(regions)
	return req
}

// Guards against a request in a region that it may not use, though only that one has free slots.
func TestRequestIsChosenForItsRegionsOnly(t *testing.T) {
	p := regionPool("r1", "r2")
	for range 8 {
		d := p.Submit(at(1), requestIn(at(1), 0, "r2", "r3"))
		assert.Equal(t, d.Verdict, Start)
		assert.Equal(t, d.EndpointID[:2], "r2")
	}
	assert.Assert(t, p.Submit(at(1), requestIn(at(1), 0, "r2")).Verdict != Start)
	assert.Equal(t, p.Submit(at(1), requestIn(at(1), 0)).EndpointID[:2], "r1")
}

// Guards against a caller that waits for endpoints of a region that has none, or none that is up.
func TestRequestWithoutAnEndpointInItsRegionsIsRefusedAtOnce(t *testing.T) {
	p := regionPool("r1", "r2")
	p.Report("r2-0", Report{ReceivedAt: at(0), LoadedVersion: 1, Closed: true})
	p.Report("r2-1", Report{ReceivedAt: at(0)})
	nowhere := requestIn(at(1), 0, "r1")
	nowhere.Regions = nowhere.Regions.Intersect(core.NewRegionSet([]string{"r2"}))
	for text, req := range map[string]*Request{
		"region 4":                        requestIn(at(1), 0, "r3"),
		"closed 1, outdated 1, region 2":  requestIn(at(1), 0, "r2"),
		"region 4 ":                       nowhere,
		"closed 1, outdated 1, region 2 ": requestIn(at(1), 0, "r2", "r3"),
	} {
		d := p.Submit(at(1), req)
		assert.Equal(t, d.Verdict, Refuse, text)
		assert.Equal(t, d.Reason, ReasonNoEndpoint, text)
		assert.Equal(t, d.ExpectedWait, unservableWait, text)
		assert.Equal(t, d.Unavailable.String(), text[:len(d.Unavailable.String())], text)
	}
	resumed := requestIn(at(1), 0, "r2")
	resumed.Resumed = true
	assert.Equal(t, p.Submit(at(1), resumed).Verdict, Enqueue)
}

// Guards against free slots that stay unused because a request waits for those of another region,
// and against a later request that takes the slot for which one of its region waits.
func TestWaitingRequestBlocksItsRegionsOnly(t *testing.T) {
	p := regionPool("r1", "r2", "r3")
	for range 8 {
		assert.Equal(t, p.Submit(at(1), requestIn(at(1), 0, "r1")).Verdict, Start)
	}
	first := requestIn(at(1), 0, "r1")
	assert.Equal(t, p.Submit(at(1), first).Verdict, Enqueue)
	assert.Assert(t, p.Submit(at(2), requestIn(at(2), 0)).EndpointID[:2] != "r1")
	assert.Equal(t, p.Submit(at(2), requestIn(at(2), 0, "r1", "r2")).EndpointID[:2], "r2")
	for id := range p.endpoints["r1-0"].inFlight {
		p.Done(at(3), "r1-0", id, Served)
		break
	}
	assert.Equal(t, p.Submit(at(3), requestIn(at(3), 1, "r1")).Verdict, Enqueue, "the slot is not its own")
	assignments := p.Dispatch(at(3))
	assert.Equal(t, len(assignments), 1)
	assert.Equal(t, assignments[0].Request, first)
	assert.Equal(t, len(p.reserved), 0)
}

// Load: urgent requests take most of the slots of one region, and half of those of all. Guards
// against less urgent requests of another region that are refused for that traffic.
func TestForecastCountsTheTrafficOfTheRegionsOnly(t *testing.T) {
	p := regionPool("r1", "r2")
	for ms := 0; ms < 2500; ms += 125 {
		p.recordArrival(at(ms), requestIn(at(ms), 0, "r1"))
	}
	now := at(2500)
	assert.Equal(t, p.competingArrivals(now, 1, nil), 8.0)
	assert.Equal(t, p.competingArrivals(now, 1, core.NewRegionSet([]string{"r1"})), 8.0)
	assert.Equal(t, p.competingArrivals(now, 1, core.NewRegionSet([]string{"r2"})), 0.0)
	assert.Equal(t, p.competingArrivals(now, 0, core.NewRegionSet([]string{"r1"})), 0.0)
	competing := 0.0
	for ms := 2500; ms <= 6000; ms += 125 {
		p.recordArrival(at(ms), requestIn(at(ms), 0))
		competing = p.competingArrivals(at(ms), 1, core.NewRegionSet([]string{"r2"}))
	}
	assert.Equal(t, competing, 4.0, "half of the others")
	assert.Assert(t, p.expectedWait(at(6000), requestIn(at(6000), 1, "r2"), 8) < time.Second)
}

// Guards against memory that grows with each document's lists.
func TestRestrictedArrivalsAreBounded(t *testing.T) {
	p := regionPool("r1")
	for i := range 10 * maxRestrictedClasses {
		p.recordArrival(at(i), requestIn(at(i), 0, fmt.Sprint("x", i)))
	}
	assert.Equal(t, len(p.restrictedArrivals), maxRestrictedClasses)
	later := at(10_000)
	p.recordArrival(later, requestIn(later, 0, "y"))
	p.recordArrival(later.Add(2*arrivalWindow), requestIn(later, 0, "z"))
	assert.Assert(t, len(p.restrictedArrivals) <= 2, "%d", len(p.restrictedArrivals))
}

// choicePool returns a pool of 108 engines in 3 regions with a request in flight at each.
func choicePool() *Pool {
	p := NewPool(Config{Region: "r1", AgentReports: true})
	var endpoints []Endpoint
	for i := range 108 {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("i-%03d", i), Region: fmt.Sprint("r", 1+i%3), Slots: 16, LoadedVersion: 1})
	}
	p.SetEndpoints(at(-1000), endpoints)
	for _, e := range endpoints {
		p.Report(e.ID, Report{ReceivedAt: at(0), LoadedVersion: 1})
		req := newRequest(at(0), 0)
		p.start(at(0), p.endpoints[e.ID], req)
	}
	return p
}

// Guards against memory that is allocated for each choice because of regions.
func TestChoiceAllocatesNothing(t *testing.T) {
	p := choicePool()
	waiting := requestIn(at(1), 0, "r3")
	p.waiting = append(p.waiting, waiting)
	for name, req := range map[string]*Request{"all regions": requestIn(at(1), 1), "some regions": requestIn(at(1), 1, "r1", "r2")} {
		allocated := testing.AllocsPerRun(100, func() {
			p.reserveRegions(at(1), req)
			p.chooseEndpoint(at(1), req, p.freeSlots(at(1), req.Regions))
			p.releaseRegions()
		})
		assert.Equal(t, allocated, 0.0, name)
	}
}

func BenchmarkChoice(b *testing.B) {
	for name, regions := range map[string][]string{"all": nil, "two": {"r1", "r2"}} {
		b.Run(name, func(b *testing.B) {
			p := choicePool()
			req := requestIn(at(1), 0, regions...)
			b.ReportAllocs()
			for b.Loop() {
				p.reserveRegions(at(1), req)
				p.chooseEndpoint(at(1), req, p.freeSlots(at(1), req.Regions))
				p.releaseRegions()
			}
		})
	}
}
