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

// Guards against two entries that take the same position, which would both use the part of
// a limit that only one of them has.
func TestEachEntryGetsAPositionOfItsOwn(t *testing.T) {
	startedAt := time.Now()
	now := startedAt.Add(loadreport.SubscriptionTTL)
	relay := newRateLimitRelay(startedAt, subscribed(now))
	positions := make(map[netip.AddrPort]int)
	for _, entry := range rateLimitEntries {
		limits := relay.limitsFor(now, entry)
		assert.Equal(t, limits.Entries, 3)
		positions[entry] = limits.Position
	}
	assert.DeepEqual(t, positions, map[netip.AddrPort]int{
		rateLimitEntries[1]: 0, rateLimitEntries[2]: 1, rateLimitEntries[0]: 2,
	}, comparableAddrs)
	stranger := netip.MustParseAddrPort("127.0.0.9:1")
	assert.Equal(t, relay.limitsFor(now, stranger).Entries, 0)
}

// Guards against an agent that has just started and makes each entry believe that it is one
// of few.
func TestStartedAgentNamesNoPositions(t *testing.T) {
	now := time.Now()
	relay := newRateLimitRelay(now, subscribed(now))
	assert.Equal(t, relay.limitsFor(now.Add(loadreport.SubscriptionTTL-1), rateLimitEntries[0]).Entries, 0)
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
