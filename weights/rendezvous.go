package weights

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
)

// hashName returns the hash of a name, seeded with a key.
func hashName(key uint64, name string) uint64 {
	digest := xxhash.NewWithSeed(key)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// hashPair returns the hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// manifestKey derives a hash key from a manifest's digest.
func manifestKey(d core.Digest) uint64 {
	return binary.LittleEndian.Uint64(d[:8])
}

// candidate is an instance with its hash, for rendezvous hashing.
type candidate struct {
	id   core.InstanceID
	hash uint64
}

// rendezvous returns candidates in rendezvous order for a key, highest score
// first.
func rendezvous(candidates []candidate, key uint64) []candidate {
	type scored struct {
		candidate
		score uint64
	}
	scores := make([]scored, len(candidates))
	for i, c := range candidates {
		scores[i] = scored{candidate: c, score: hashPair(c.hash, key)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ordered := make([]candidate, len(scores))
	for i, s := range scores {
		ordered[i] = s.candidate
	}
	return ordered
}
