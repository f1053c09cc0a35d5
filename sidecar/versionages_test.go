package sidecar

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

// Guards against a started entry that waits for the ages of versions, and against a
// lost datagram that is never sent again.
func TestVersionAgesAreDueToNewSubscribersAndAfterEachInterval(t *testing.T) {
	entries := &subscribers{byAddr: make(map[netip.AddrPort]subscriber)}
	early := netip.MustParseAddrPort("127.0.0.1:1")
	late := netip.MustParseAddrPort("127.0.0.2:1")
	entries.add(at(0), early, loadreport.Subscription{})
	assert.Assert(t, slices.Equal(entries.takeVersionAgesDue(at(0), unlimitedInterval), []netip.AddrPort{early}))
	entries.add(at(500), early, loadreport.Subscription{Demand: 1})
	entries.add(at(500), late, loadreport.Subscription{})
	assert.Assert(t, slices.Equal(entries.takeVersionAgesDue(at(500), time.Second), []netip.AddrPort{late}))
	assert.Assert(t, slices.Equal(entries.takeVersionAgesDue(at(1000), time.Second), []netip.AddrPort{early}))
	assert.Equal(t, len(entries.takeVersionAgesDue(at(60_000), unlimitedInterval)), 0)
	assert.Equal(t, len(entries.takeVersionAgesDue(at(60_000), 0)), 2)
}
