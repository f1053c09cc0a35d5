package keeper

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readingStep is the time between two agents that read a manifest from the
// origin: one of 5 KB takes 7 ms of a link of 6 Mbit/s. Read by all agents at
// once, the manifests of a large fleet would stand before the first chunks.
const readingStep = 8 * time.Millisecond

// readingTurn returns how long this agent waits until it reads the manifest of
// a version. The agents of the service read one after the other, in an order
// that differs between versions.
func (k *Keeper) readingTurn(version uint64) time.Duration {
	peers := k.peers()
	ids := make([]string, len(peers))
	for i, peer := range peers {
		ids[i] = string(peer.ID)
	}
	return readingStep * time.Duration(placeAmong(string(peerID(k.config.ChunkAddr)), ids, version))
}

// readingPause returns how long this agent waits after a reading that failed:
// all agents together read once every readingStep on average, and at different
// moments, so that an origin that is back after an outage can answer.
func (k *Keeper) readingPause() time.Duration {
	mean := max(manifestPause, readingStep*time.Duration(len(k.peers())))
	return mean/2 + rand.N(mean)
}

// placeAmong returns the place of an agent among those of the ids, in an order
// that the version shuffles.
func placeAmong(self string, ids []string, version uint64) int {
	score := func(id string) uint64 { return xxhash.Sum64String(id + " " + strconv.FormatUint(version, 10)) }
	own := score(self)
	place := 0
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		if id != self && score(id) < own {
			place++
		}
	}
	return place
}
