package sidecar

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/loadreport"
)

// Guards against an entry that heard nothing for a while, reads a version long after its
// declaration, and is not corrected by agents for which the version is no longer pending.
func TestEntryThatDatesAVersionTooLateIsCorrected(t *testing.T) {
	r := newReconciler(t, nil)
	r.deps.Directory.SetDocument(&directory.Document{Version: 1, Services: map[string]*directory.Service{"lm": testService}})
	entry := netip.MustParseAddrPort("127.0.0.3:1")
	now := time.Now()
	r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(2, now.Add(-testVersionBound-time.Second)))
	clocks := loadreport.NewClockExchange(now.Add(-time.Minute))
	entries := &subscribers{byAddr: make(map[netip.AddrPort]subscriber)}
	entries.add(time.Now(), entry, loadreport.Subscription{})
	r.clocks.Receive(now.Add(-10*time.Second), entry, clocks.Stamp(now.Add(-10*time.Second), entry))
	entries.takeVersionAgesDue(now.Add(-10*time.Second), unlimitedInterval) // Lost on the way.

	late := loadreport.VersionAges{{Version: 2, Min: 100 * time.Millisecond, Max: loadreport.UnknownDuration}}
	r.applyVersionAges(now, entry, late.Encode(testModel, clocks.Stamp(now, entry)), entries)
	assert.Equal(t, len(entries.takeVersionAgesDue(now, unlimitedInterval)), 1)
}
