package sidecar

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

// entriesOf returns subscribers in the agent's region and in others.
func entriesOf(near, remote int) map[netip.AddrPort]subscriber {
	entries := make(map[netip.AddrPort]subscriber)
	for i := range near + remote {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		entries[addr] = subscriber{subscription: loadreport.Subscription{SameRegion: i < near}}
	}
	return entries
}

// Guards against control traffic that grows with entries times agents: each change of each
// agent's load, twenty a second, went to every entry.
func TestRemoteEntriesGetLoadChangesLessOftenInLargeFleets(t *testing.T) {
	sentIn := func(near, remote int) (toNear, toRemote int) {
		var pace reportPace
		entries := entriesOf(near, remote)
		for poll := range 200 {
			for _, entry := range pace.selectRecipients(at(poll*50), entries, false) {
				if entry.subscription.SameRegion {
					toNear++
				} else {
					toRemote++
				}
			}
		}
		return toNear, toRemote
	}
	toNear, toRemote := sentIn(7, 29)
	assert.Equal(t, toNear, 7*200)
	assert.Equal(t, toRemote, 29*50, "every loadreport.RefreshInterval")
	_, toRemote = sentIn(2, 3)
	assert.Equal(t, toRemote, 3*200, "a small fleet is within the bound")
}

func TestUrgentReportsGoToAllEntriesAtOnce(t *testing.T) {
	var pace reportPace
	entries := entriesOf(7, 29)
	assert.Equal(t, len(pace.selectRecipients(at(0), entries, false)), 36)
	assert.Equal(t, len(pace.selectRecipients(at(50), entries, false)), 7)
	assert.Equal(t, len(pace.selectRecipients(at(100), entries, true)), 36)
}

// Entries of other regions renew their subscriptions less often; what waits there still counts
// between two renewals.
func TestDemandOfRemoteEntriesCountsBetweenTheirRenewals(t *testing.T) {
	near, remote := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.1.0.1:80")
	entries := &subscribers{byAddr: make(map[netip.AddrPort]subscriber)}
	entries.add(at(0), near, loadreport.Subscription{Demand: 3, SameRegion: true})
	entries.add(at(0), remote, loadreport.Subscription{Demand: 4})
	assert.Equal(t, entries.totalDemand(at(100)), 7)
	assert.Equal(t, entries.totalDemand(at(600)), 4)
	assert.Equal(t, entries.totalDemand(at(2000)), 0)
}

func TestOnlyAChangedLoadIsNotUrgent(t *testing.T) {
	last := loadreport.Report{Running: 1, Waiting: 2, Slowdown: 1, LoadedVersion: 3, Demand: 4, Entries: 5, ClosesIn: loadreport.UnknownDuration}
	busier := last
	busier.Running, busier.Waiting, busier.Slowdown, busier.Demand, busier.Entries = 8, 9, 2, 10, 6
	assert.Assert(t, !tellsMoreThanLoad(busier, last))
	for name, change := range map[string]func(*loadreport.Report){
		"closed":  func(r *loadreport.Report) { r.Closed = true },
		"loaded":  func(r *loadreport.Report) { r.LoadedVersion = 4 },
		"version": func(r *loadreport.Report) { r.DeclaredVersion = 4 },
		"closes":  func(r *loadreport.Report) { r.ClosesIn = 0 },
		"config":  func(r *loadreport.Report) { r.NeedsConfig = true },
		"start":   func(r *loadreport.Report) { r.Start = loadreport.StartAge{Known: true, Seen: true} },
		"settled": func(r *loadreport.Report) { r.Settled = true },
	} {
		changed := busier
		change(&changed)
		assert.Assert(t, tellsMoreThanLoad(changed, last), name)
	}
}
