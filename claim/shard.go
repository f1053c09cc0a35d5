package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
)

// DefaultShards is the default number of shards of a fleet.
const DefaultShards = 8

// ShardOf returns the shard of a key, 0 to shards-1.
func ShardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

// OwnerOf returns the entry instance that owns a shard: the one with the highest
// rendezvous hash, or "" if there is none.
func OwnerOf(shard int, entryIDs []core.InstanceID) core.InstanceID {
	var owner core.InstanceID
	var highest uint64
	for _, id := range entryIDs {
		score := ownerScore(shard, id)
		if owner == "" || score > highest || (score == highest && id < owner) {
			owner = id
			highest = score
		}
	}
	return owner
}

func ownerScore(shard int, id core.InstanceID) uint64 {
	hashInput := binary.BigEndian.AppendUint32(nil, uint32(shard))
	return xxhash.Sum64(append(hashInput, id...))
}
