package sidecar

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// manifestReadInterval is the time between the manifest reads of two agents: one of
// 5 KB occupies a 6 Mbit/s link for 7 ms. If all agents of a large fleet read at
// once, the manifests would queue ahead of the first chunks.
const manifestReadInterval = 8 * time.Millisecond

// manifestReadDelay returns how long this agent waits before it reads the manifest
// of a version. The agents of the service read one after the other, in an order
// that differs between versions.
func (r *Reconciler) manifestReadDelay(version uint64) time.Duration {
	peers := r.peers()
	ids := make([]string, len(peers))
	for i, peer := range peers {
		ids[i] = string(peer.ID)
	}
	return manifestReadInterval * time.Duration(shuffledPosition(string(peerID(r.config.ChunkAddr)), ids, version))
}

// manifestRetryDelay returns the jittered delay after a failed read: all agents
// together read once every manifestReadInterval on average, so that an origin can
// answer when it recovers from an outage.
func (r *Reconciler) manifestRetryDelay() time.Duration {
	mean := max(minManifestRetryDelay, manifestReadInterval*time.Duration(len(r.peers())))
	return mean/2 + rand.N(mean)
}

// shuffledPosition returns the position of an agent among ids, in an order that
// depends on the version.
func shuffledPosition(self string, ids []string, version uint64) int {
	score := func(id string) uint64 { return xxhash.Sum64String(id + " " + strconv.FormatUint(version, 10)) }
	ownScore := score(self)
	position := 0
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		if id != self && score(id) < ownScore {
			position++
		}
	}
	return position
}
