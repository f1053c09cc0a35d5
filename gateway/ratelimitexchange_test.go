package gateway

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// rateLimitFixture is a gateway with one endpoint that is never called.
func rateLimitFixture(t *testing.T) (f *fixture, endpoint *directory.Endpoint) {
	f = newFixture(t, http.NotFound)
	return f, f.directory.View().Endpoints["i-0"]
}

func (f *fixture) rateLimited() (limited int) {
	(*f.gateway.services.Load())["s"].gate.Update(func(p *admission.Pool) { limited = p.RateLimited() })
	return limited
}

var rateLimitAgent = netip.MustParseAddrPort("127.0.0.1:1")

// Guards against an entry that sends an endpoint requests beyond the limit that it announced
// to other entries only.
func TestEntryLearnsRateLimitsFromOtherEntries(t *testing.T) {
	f, endpoint := rateLimitFixture(t)
	now := time.Now()
	share := []loadreport.ServiceShare{{Service: loadreport.ServiceHash("s"), Lower: 0.25, Upper: 0.5}}
	receive := func(limits ...loadreport.RateLimit) {
		datagram := loadreport.RateLimits{Shares: share, Limits: limits}.Encode(f.gateway.config.FleetKey)
		f.gateway.receiveRateLimits(now, rateLimitAgent, datagram)
	}
	receive(loadreport.RateLimit{Incarnation: endpoint.IncarnationHash() + 1, Limited: true, PerSecond: 2})
	assert.Equal(t, f.rateLimited(), 0)
	receive(loadreport.RateLimit{Incarnation: endpoint.IncarnationHash(), Limited: true, PerSecond: 2, Age: time.Second})
	assert.Equal(t, f.rateLimited(), 1)
	service := (*f.gateway.services.Load())["s"]
	assert.Equal(t, service.rateLimitShare.get(now, 3), admission.RateLimitShare{Lower: 0.25, Upper: 0.5, Known: true, Entries: 3})
	assert.Equal(t, len(f.gateway.demands()), 1)
	known := f.gateway.knownRateLimits(now)
	assert.DeepEqual(t, known, []loadreport.RateLimit{{Incarnation: endpoint.IncarnationHash(), Limited: true, PerSecond: 2, Age: time.Second}})

	receive(loadreport.RateLimit{Incarnation: endpoint.IncarnationHash()})
	assert.Equal(t, f.rateLimited(), 0)
	assert.Equal(t, len(f.gateway.knownRateLimits(now)), 1, "others learn of the end")
}

// Guards against forged datagrams that keep requests from an endpoint.
func TestForgedRateLimitsChangeNothing(t *testing.T) {
	f, endpoint := rateLimitFixture(t)
	datagram := loadreport.RateLimits{Limits: []loadreport.RateLimit{{Incarnation: endpoint.IncarnationHash(), Limited: true}}}.Encode([]byte("other"))
	f.gateway.receiveRateLimits(time.Now(), rateLimitAgent, datagram)
	assert.Equal(t, f.rateLimited(), 0)
}

// Guards against an entry that keeps a share that no agent confirms: without agents nobody
// would tell it of the end of a limit of which it has no part.
func TestShareOfRateLimitsExpires(t *testing.T) {
	var share rateLimitShare
	now := time.Now()
	assert.Equal(t, share.get(now, 0), admission.RateLimitShare{Entries: initialEntryCount})
	share.set(now, 0.5, 0.75)
	assert.Equal(t, share.get(now.Add(rateLimitShareTTL), 5), admission.RateLimitShare{Lower: 0.5, Upper: 0.75, Known: true, Entries: 5})
	assert.Equal(t, share.get(now.Add(rateLimitShareTTL+1), 5), admission.RateLimitShare{Entries: 5})
}

// Guards against entries that ask different agents for their shares, of which none knows the
// demand of all, and against one that asks an agent that is gone.
func TestEntriesAskTheSameLiveAgentsForShares(t *testing.T) {
	f, _ := rateLimitFixture(t)
	agents := f.listEngines(8)
	now := time.Now()
	for _, agent := range agents {
		f.gateway.applyReport(now, agent, loadreport.Report{ClosesIn: loadreport.UnknownDuration})
	}
	chosen := f.gateway.dividingAgents(now)
	assert.Equal(t, len(chosen), dividingRelays)
	assert.Check(t, slices.Equal(f.gateway.dividingAgents(now), chosen))

	later := now.Add(time.Minute)
	for _, agent := range agents {
		if agent != chosen[0].Addr() {
			f.gateway.applyReport(later, agent, loadreport.Report{ClosesIn: loadreport.UnknownDuration})
		}
	}
	assert.Check(t, slices.Equal(f.gateway.dividingAgents(later)[:dividingRelays-1], chosen[1:]))
}

// listEngines lists n engines of a service with agents, and returns the addresses of these.
func (f *fixture) listEngines(n int) []netip.Addr {
	f.gateway.config.DatagramAddr = "127.0.0.1:9000"
	document := *f.directory.View().Document
	document.Version++
	document.Services = map[string]*directory.Service{"s": {Name: "s"}, "lm": {Name: "lm", Engine: &directory.Engine{}}}
	f.directory.SetDocument(&document)
	var agents []netip.Addr
	for i := range n {
		address := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
		agents = append(agents, address)
		f.directory.PutEndpoint(&directory.Endpoint{ID: fmt.Sprint("lm-", i), Service: "lm", Address: netip.AddrPortFrom(address, 80).String(), Slots: 4})
	}
	return agents
}
