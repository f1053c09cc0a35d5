package sidecar

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

func TestProviderOfTheEngineListIsNearby(t *testing.T) {
	addr := func(last byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80)
	}
	entries := map[netip.AddrPort]subscriber{
		addr(1): {subscription: loadreport.Subscription{SameRegion: true}},
		addr(3): {subscription: loadreport.Subscription{OffersEngines: true}},
		addr(4): {subscription: loadreport.Subscription{OffersEngines: true, SameRegion: true}},
	}
	for _, want := range []byte{4, 3} {
		provider, found := chooseProvider("agent", entries)
		assert.Assert(t, found)
		assert.Equal(t, provider, addr(want))
		delete(entries, addr(want))
	}
	_, found := chooseProvider("agent", entries)
	assert.Assert(t, !found, "an entry that does not follow the store offers no list")
}

func TestAgentsOfARegionAskDifferentEntries(t *testing.T) {
	entries := make(map[netip.AddrPort]subscriber)
	for i := range 8 {
		entries[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)] = subscriber{subscription: loadreport.Subscription{OffersEngines: true, SameRegion: true}}
	}
	asked := make(map[netip.AddrPort]int)
	for i := range 80 {
		provider, _ := chooseProvider(string(rune('a'+i)), entries)
		asked[provider]++
	}
	assert.Equal(t, len(asked), len(entries))
}

func TestPartsOfAnotherListAreDropped(t *testing.T) {
	var receiver engineListReceiver
	part := func(digest uint64, index int) loadreport.EngineListPart {
		return loadreport.EngineListPart{Digest: digest, Index: index, Count: 2, Data: []byte("x")}
	}
	for _, p := range []loadreport.EngineListPart{part(1, 0), part(2, 1), part(1, 0)} {
		_, complete, err := receiver.add(p)
		assert.NilError(t, err)
		assert.Assert(t, !complete, "parts of two lists")
	}
	_, complete, err := receiver.add(part(1, 1))
	assert.ErrorType(t, err, &loadreport.FormatError{})
	assert.Assert(t, !complete)
}
