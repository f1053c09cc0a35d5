package gateway

import (
	"net/http"
	"net/netip"
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
	receive := func(limits ...loadreport.RateLimit) {
		datagram := loadreport.RateLimits{Entries: 3, Position: 1, Limits: limits}.Encode(f.gateway.config.FleetKey)
		f.gateway.receiveRateLimits(now, rateLimitAgent, datagram)
	}
	receive(loadreport.RateLimit{Incarnation: endpoint.IncarnationHash() + 1, Limited: true, PerSecond: 2})
	assert.Equal(t, f.rateLimited(), 0)
	receive(loadreport.RateLimit{Incarnation: endpoint.IncarnationHash(), Limited: true, PerSecond: 2, Age: time.Second})
	assert.Equal(t, f.rateLimited(), 1)
	assert.DeepEqual(t, f.gateway.rateLimitPlace.get(0), admission.RateLimitPlace{Entries: 3, Position: 1, Known: true})
	known := f.gateway.knownRateLimits(now)
	assert.DeepEqual(t, known, []loadreport.RateLimit{{Incarnation: endpoint.IncarnationHash(), Limited: true, PerSecond: 2, Age: time.Second}})

	receive(loadreport.RateLimit{Incarnation: endpoint.IncarnationHash()})
	assert.Equal(t, f.rateLimited(), 0)
	assert.Equal(t, len(f.gateway.knownRateLimits(now)), 1, "others learn of the end")
}

// Guards against forged datagrams that keep requests from an endpoint.
func TestForgedRateLimitsChangeNothing(t *testing.T) {
	f, endpoint := rateLimitFixture(t)
	datagram := loadreport.RateLimits{Entries: 3, Limits: []loadreport.RateLimit{{Incarnation: endpoint.IncarnationHash(), Limited: true}}}.Encode([]byte("other"))
	f.gateway.receiveRateLimits(time.Now(), rateLimitAgent, datagram)
	assert.Equal(t, f.rateLimited(), 0)
}

// Guards against an entry that keeps a place that no agent confirms: without agents nobody
// would tell it of the end of a limit of which it has no part.
func TestPlaceAmongEntriesExpires(t *testing.T) {
	var place rateLimitPlace
	now := time.Now()
	assert.DeepEqual(t, place.get(0), admission.RateLimitPlace{Entries: initialEntryCount})
	known := admission.RateLimitPlace{Entries: 16, Position: 15, Known: true}
	place.set(now, known)
	place.expire(now.Add(rateLimitPlaceTTL))
	assert.DeepEqual(t, place.get(5), known)
	place.expire(now.Add(rateLimitPlaceTTL + 1))
	assert.DeepEqual(t, place.get(5), admission.RateLimitPlace{Entries: 5})
}
