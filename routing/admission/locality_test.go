package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/locality"
)

// localityPool returns a pool of an entry in the failure domain "own", with four engines of four
// slots in each of "own", "near" and "far". Those of "own" are full, the others idle.
func localityPool(pricePerKB time.Duration) *Pool {
	p := NewPool(Config{
		Region: "own", AgentReports: true, InitialServiceTime: time.Second, Rand: rand.New(rand.NewPCG(3, 3)),
		Locality: LocalityConfig{Enabled: true, FailureDomain: "own", PricePerKB: pricePerKB},
	})
	p.SetEntryCount(3)
	var endpoints []Endpoint
	for _, domain := range []string{"own", "near", "far"} {
		for i := range 4 {
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("%s-%d", domain, i), Region: domain, FailureDomain: domain, Slots: 4, LoadedVersion: 1})
		}
	}
	p.SetEndpoints(at(-1000), endpoints)
	reportDomains(p, at(0), 4, 0, 0)
	return p
}

// reportDomains reports the load of each engine in the three failure domains.
func reportDomains(p *Pool, now time.Time, own, near, far int) {
	for domain, running := range map[string]int{"own": own, "near": near, "far": far} {
		for i := range 4 {
			p.Report(fmt.Sprintf("%s-%d", domain, i), Report{ReceivedAt: now, LoadedVersion: 1, Running: running, RoundTrip: 4 * time.Millisecond})
		}
	}
}

func domainOf(p *Pool, endpointID string) string {
	return p.endpoints[endpointID].FailureDomain
}

func TestRequestLeavesAFullFailureDomainForOneThatOffers(t *testing.T) {
	p := localityPool(0)
	reportDomains(p, at(0), 4, 4, 0)
	decision := p.Submit(at(1), newRequest(at(1), 0))
	assert.Equal(t, decision.Verdict, Start)
	assert.Equal(t, domainOf(p, decision.EndpointID), "far")
	assert.Assert(t, decision.Estimate.Left && decision.Estimate.OwnWait > decision.Estimate.LeaveCost)
	activity, ok := p.TakeLocalityActivity()
	assert.Assert(t, ok)
	assert.DeepEqual(t, activity.Sent, map[string]int{"far": 1})
}

// Guards against requests that leave although they could start at home.
func TestNoRequestLeavesWhileASoundEndpointOfItsOwnHasASlot(t *testing.T) {
	p := localityPool(0)
	p.Report("own-2", Report{ReceivedAt: at(0), LoadedVersion: 1, Running: 3})
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).EndpointID, "own-2")
}

// Guards against dead endpoints that get requests before those that offer slots elsewhere.
func TestSlowAndSilentEndpointsKeepNoRequest(t *testing.T) {
	p := localityPool(0)
	p.Report("own-0", Report{ReceivedAt: at(0), LoadedVersion: 1, Slowdown: 3})
	for _, id := range []string{"own-2", "own-3"} {
		p.Report(id, Report{ReceivedAt: at(500), LoadedVersion: 1, Running: 4})
	}
	for _, domain := range []string{"near", "far"} {
		for i := range 4 {
			p.Report(fmt.Sprintf("%s-%d", domain, i), Report{ReceivedAt: at(500), LoadedVersion: 1})
		}
	}
	p.Report("own-1", Report{ReceivedAt: at(0), LoadedVersion: 1})
	assert.Assert(t, domainOf(p, p.Submit(at(500), newRequest(at(500), 0)).EndpointID) != "own")
}

// Guards against failure domains that exchange their requests while all are full.
func TestNoRequestLeavesWhileAllAreFull(t *testing.T) {
	p := localityPool(0)
	reportDomains(p, at(0), 4, 4, 4)
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict, Enqueue)
	activity, _ := p.TakeLocalityActivity()
	assert.DeepEqual(t, activity.Kept, map[locality.Verdict]int{locality.KeptNoOffer: 1})
}

func TestPriceAboveEveryGainKeepsRequests(t *testing.T) {
	p := localityPool(time.Second)
	req := newRequest(at(1), 0)
	req.Kilobytes = 10
	assert.Equal(t, p.Submit(at(1), req).Verdict, Enqueue)
	activity, _ := p.TakeLocalityActivity()
	assert.DeepEqual(t, activity.Kept, map[locality.Verdict]int{locality.KeptByCost: 1})
	assert.Equal(t, len(activity.Sent), 0)
}

// Guards against a reason that says that nothing is offered while the request may not use what is.
func TestRequestThatMayUseNoEndpointElsewhereIsKeptByThat(t *testing.T) {
	p := localityPool(0)
	req := newRequest(at(1), 0)
	for _, domain := range []string{"near", "far"} {
		for i := range 4 {
			req.ExcludedEndpoints = append(req.ExcludedEndpoints, fmt.Sprintf("%s-%d", domain, i))
		}
	}
	assert.Equal(t, p.Submit(at(1), req).Verdict, Enqueue)
	assert.Equal(t, p.Submit(at(2), newRequest(at(2), 0)).Verdict, Enqueue)
	activity, _ := p.TakeLocalityActivity()
	assert.DeepEqual(t, activity.Kept, map[locality.Verdict]int{locality.KeptNoEndpoint: 1, locality.KeptByQueue: 1})
}

// Guards against a link that is cut: reports end, and the failure domain offers nothing.
func TestNoRequestLeavesForAFailureDomainWithoutReports(t *testing.T) {
	p := localityPool(0)
	for i := range 4 {
		p.Report(fmt.Sprintf("own-%d", i), Report{ReceivedAt: at(701), LoadedVersion: 1, Running: 4})
	}
	assert.Equal(t, p.Submit(at(701), newRequest(at(701), 0)).Verdict, Enqueue)
}

// Guards against a link that is cut one way: reports arrive, requests do not.
func TestNoRequestLeavesForAFailureDomainThatOwesFirstEvents(t *testing.T) {
	p := localityPool(0)
	sent := make(map[string]uint64)
	for _, id := range []string{"near-0", "near-1", "far-0"} {
		req := newRequest(at(1), 0)
		req.Stream = true
		sent[id] = req.ID
		p.start(at(1), p.endpoints[id], req)
	}
	reportDomains(p, at(602), 4, 0, 0)
	for range 2 {
		decision := p.Submit(at(602), newRequest(at(602), 0))
		assert.Equal(t, domainOf(p, decision.EndpointID), "far")
	}
	p.RecordProgress(at(603), "near-0", sent["near-0"])
	p.Done(at(603), "far-0", sent["far-0"], Served)
	p.updateLocality(at(603))
	assert.Assert(t, p.locality.router.Offer(p.endpoints["near-1"].locality.domain) > 0)
}

// Guards against requests that are sent to an evacuated failure domain, which has free slots.
func TestNoRequestLeavesForAnEvacuatedNeighbour(t *testing.T) {
	p := localityPool(0)
	var endpoints []Endpoint
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id].Endpoint
		endpoint.Draining = endpoint.FailureDomain == "near"
		endpoints = append(endpoints, endpoint)
	}
	p.SetEndpoints(at(1), endpoints)
	for range 20 {
		decision := p.Submit(at(2), newRequest(at(2), 0))
		if decision.Verdict == Start {
			assert.Equal(t, domainOf(p, decision.EndpointID), "far")
		}
	}
}

// Guards against requests that are held back by a failure domain that has lost most endpoints.
func TestEveryFailureDomainIsOwnWhileTheOwnOneIsTooSmall(t *testing.T) {
	p := localityPool(time.Second)
	reportDomains(p, at(0), 0, 0, 0)
	var endpoints []Endpoint
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id].Endpoint
		endpoint.Draining = id == "own-0" || id == "own-1" || id == "own-2"
		endpoints = append(endpoints, endpoint)
	}
	p.SetEndpoints(at(1), endpoints)
	domains := make(map[string]int)
	for range 20 {
		domains[domainOf(p, p.Submit(at(2), newRequest(at(2), 0)).EndpointID)]++
	}
	assert.Assert(t, domains["near"] > 0 && domains["far"] > 0, "%v", domains)
}

// Guards against requests that entries read out of the same report: until a report covers them,
// those that ended count too.
func TestPartOfTheOfferHoldsUntilReportsCoverWhatWasSent(t *testing.T) {
	p := localityPool(0)
	sent := 0
	for range 40 {
		req := newRequest(at(1), 0)
		if decision := p.Submit(at(1), req); decision.Verdict == Start {
			sent++
			p.Done(at(2), decision.EndpointID, req.ID, Served)
		}
	}
	// Each of two failure domains offers 16 - 0.8 slots, divided by max(1, 3 entries x 1 / 3).
	assert.Equal(t, sent, 2*15)
	reportDomains(p, at(200), 4, 0, 0)
	p.Dispatch(at(200))
	assert.Assert(t, p.locality.activity.Sent["near"] > 15)
}

func TestResumedAndMovedRequestsTakeAnySlot(t *testing.T) {
	p := localityPool(time.Hour)
	for _, req := range []*Request{newRequest(at(1), 0), newRequest(at(1), 0)} {
		req.Kilobytes = 1
		req.Resumed = req.ID%2 == 0
		req.Moved = !req.Resumed
		assert.Equal(t, p.Submit(at(1), req).Verdict, Start)
	}
}

// Guards against an entry that sends requests outside its failure domain before it knows the load
// and the number of entries.
func TestNothingLeavesWhileTheNumberOfEntriesIsUnknown(t *testing.T) {
	p := localityPool(0)
	p.entryCountKnown = false
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict, Enqueue)
}

func TestReportThatAFrozenProcessReadLateOffersNothing(t *testing.T) {
	p := localityPool(0)
	for _, domain := range []string{"near", "far"} {
		for i := range 4 {
			p.Report(fmt.Sprintf("%s-%d", domain, i), Report{ReceivedAt: at(1), LoadedVersion: 1, RoundTrip: time.Second})
		}
	}
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict, Enqueue)
}

func TestServiceWithoutAgentsDoesNotUseLocality(t *testing.T) {
	p := NewPool(Config{Locality: LocalityConfig{Enabled: true}})
	_, ok := p.TakeLocalityActivity()
	assert.Assert(t, !ok)
}
