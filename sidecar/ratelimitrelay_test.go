package sidecar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

var rateLimitEntries = []netip.AddrPort{
	netip.MustParseAddrPort("127.0.0.3:1"), netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1"),
}

// subscribed returns entries that subscribe at a time.
func subscribed(now time.Time) *subscribers {
	entries := &subscribers{byAddr: make(map[netip.AddrPort]subscriber)}
	for _, addr := range rateLimitEntries {
		entries.add(now, addr, loadreport.Subscription{})
	}
	return entries
}

var comparableAddrs = cmpopts.EquateComparable(netip.AddrPort{})

func rateLimitsOf(limits ...loadreport.RateLimit) loadreport.RateLimits {
	return loadreport.RateLimits{Limits: limits}
}

// Guards against entries that never learn of a limit or of its end, and against agents that
// pass the same ones on without end.
func TestRelayPassesChangedRateLimitsToAllEntries(t *testing.T) {
	now := time.Now()
	relay := newRateLimitRelay(now, subscribed(now))
	from := rateLimitEntries[0]
	limited := rateLimitsOf(loadreport.RateLimit{Incarnation: 1, Limited: true, PerSecond: 2, Age: time.Second})
	assert.Equal(t, len(relay.receive(now, from, limited)), 3)
	assert.DeepEqual(t, relay.receive(now, from, limited), []netip.AddrPort{from}, comparableAddrs)

	lifted := rateLimitsOf(loadreport.RateLimit{Incarnation: 1, Age: 100 * time.Millisecond})
	assert.Equal(t, len(relay.receive(now, from, lifted)), 3)
	assert.DeepEqual(t, relay.receive(now, from, limited), []netip.AddrPort{from}, comparableAddrs)
	assert.DeepEqual(t, relay.limitsFor(now, from).Limits, lifted.Limits)
}

// demandOf returns what an entry sends with its demand for service 7.
func demandOf(perSecond float64) loadreport.RateLimits {
	return loadreport.RateLimits{Demands: []loadreport.ServiceDemand{{Service: 7, PerSecond: perSecond}}}
}

// Guards against two entries that use the same part of a limit, and against parts that do
// not follow the demand.
func TestEntriesGetDisjointSharesByTheirDemand(t *testing.T) {
	startedAt := time.Now()
	now := startedAt.Add(loadreport.SubscriptionTTL)
	relay := newRateLimitRelay(startedAt, subscribed(now))
	relay.receive(now, rateLimitEntries[0], demandOf(4-minSharedDemand))
	// The third entry has not named its demand and counts with the mean.
	relay.receive(now, rateLimitEntries[1], demandOf(2-minSharedDemand))
	first := relay.shares(now, rateLimitEntries[1])
	assert.Equal(t, len(relay.shares(now, rateLimitEntries[2])), 0, "it has not asked")
	assert.DeepEqual(t, first, []loadreport.ServiceShare{{Service: 7, Lower: 0, Upper: 2.0 / 9}})
	relay.receive(now, rateLimitEntries[2], demandOf(2-minSharedDemand))
	first = relay.shares(now, rateLimitEntries[1])
	assert.DeepEqual(t, first, []loadreport.ServiceShare{{Service: 7, Lower: 0, Upper: 0.25}})
	assert.DeepEqual(t, relay.shares(now, rateLimitEntries[2]), []loadreport.ServiceShare{{Service: 7, Lower: 0.25, Upper: 0.5}})
	assert.DeepEqual(t, relay.shares(now, rateLimitEntries[0]), []loadreport.ServiceShare{{Service: 7, Lower: 0.5, Upper: 1}})
	stranger := netip.MustParseAddrPort("127.0.0.9:1")
	relay.receive(now, stranger, demandOf(1))
	assert.Equal(t, len(relay.shares(now, stranger)), 0)
}

// Guards against an agent that has just started and gives the few entries that it knows the
// whole of each limit.
func TestStartedAgentDividesNothing(t *testing.T) {
	now := time.Now()
	relay := newRateLimitRelay(now, subscribed(now))
	relay.receive(now, rateLimitEntries[0], demandOf(1))
	assert.Equal(t, len(relay.shares(now.Add(loadreport.SubscriptionTTL-1), rateLimitEntries[0])), 0)
}

// Guards against an entry that stopped and keeps its part of the limits.
func TestOldDemandIsForgotten(t *testing.T) {
	startedAt := time.Now()
	now := startedAt.Add(loadreport.SubscriptionTTL)
	entries := subscribed(now)
	relay := newRateLimitRelay(startedAt, entries)
	for _, entry := range rateLimitEntries {
		relay.receive(now, entry, demandOf(1))
	}
	later := now.Add(rateLimitDemandTTL + loadreport.SubscriptionTTL)
	entries.add(later, rateLimitEntries[0], loadreport.Subscription{})
	relay.receive(later, rateLimitEntries[0], demandOf(1))
	assert.DeepEqual(t, relay.shares(later, rateLimitEntries[0]), []loadreport.ServiceShare{{Service: 7, Lower: 0, Upper: 1}})
}

// Guards against a relay that keeps what nobody repeats.
func TestRelayForgetsOldRateLimits(t *testing.T) {
	now := time.Now()
	relay := newRateLimitRelay(now, subscribed(now))
	relay.receive(now, rateLimitEntries[0], rateLimitsOf(loadreport.RateLimit{Incarnation: 1, Limited: true, PerSecond: 2}))
	later := now.Add(maxRelayedAge + time.Second)
	relay.receive(later, rateLimitEntries[0], rateLimitsOf())
	assert.Equal(t, len(relay.notices), 0)
}
