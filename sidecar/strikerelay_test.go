package sidecar

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

var relayKey = []byte("key")

// Guards against entries that never learn which request crashed an endpoint at another
// entry, and against agents that pass the same strikes on without end.
func TestRelayPassesNewStrikesToAllEntries(t *testing.T) {
	now := time.Now()
	entries := &subscribers{byAddr: make(map[netip.AddrPort]subscriber)}
	for _, addr := range []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"} {
		entries.add(now, netip.MustParseAddrPort(addr), loadreport.Subscription{})
	}
	relay := newStrikeRelay(entries)
	datagram := loadreport.Strikes{{Fingerprint: 7, Crash: 100}}.Encode(relayKey)
	forwarded, to, err := relay.receive(now, relayKey, datagram)
	assert.NilError(t, err)
	assert.Equal(t, len(to), 3)
	strikes, err := loadreport.DecodeStrikes(relayKey, forwarded)
	assert.NilError(t, err)
	assert.DeepEqual(t, strikes, loadreport.Strikes{{Fingerprint: 7, Crash: 100}})

	_, to, err = relay.receive(now, relayKey, datagram)
	assert.NilError(t, err)
	assert.Equal(t, len(to), 0, "what is known is not passed on again")
	_, _, err = relay.receive(now, []byte("other"), datagram)
	assert.Assert(t, err != nil)
}

// Guards against an entry that restarts and sends a quarantined request on, as its agents
// took its new subscription for a renewal.
func TestStartedEntryGetsTheKnownStrikes(t *testing.T) {
	now := time.Now()
	entry := netip.MustParseAddrPort("127.0.0.1:1")
	entries := &subscribers{byAddr: make(map[netip.AddrPort]subscriber)}
	relay := newStrikeRelay(entries)
	assert.Equal(t, len(relay.snapshot(relayKey)), 0)
	assert.Assert(t, entries.add(now, entry, loadreport.Subscription{Timestamp: 9000}))
	assert.Assert(t, !entries.add(now, entry, loadreport.Subscription{Timestamp: 9500}))
	_, _, err := relay.receive(now, relayKey, loadreport.Strikes{{Fingerprint: 7, Crash: 100}}.Encode(relayKey))
	assert.NilError(t, err)

	assert.Assert(t, entries.add(now, entry, loadreport.Subscription{Timestamp: 100}), "its timestamps start anew")
	strikes, err := loadreport.DecodeStrikes(relayKey, relay.snapshot(relayKey))
	assert.NilError(t, err)
	assert.Equal(t, len(strikes), 1)
}
