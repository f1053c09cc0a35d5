package connguard

import (
	"hash/maphash"
	"slices"
)

// maxRecentIDs is the number of requests after which a connection no longer knows an ID: a copy
// of a response arrives where one of the next responses is due.
const maxRecentIDs = 16

// idSeed makes the hashes of IDs, which callers choose, unpredictable.
var idSeed = maphash.MakeSeed()

// recentIDs holds hashes of the IDs of the last requests on a connection.
type recentIDs struct {
	hashes [maxRecentIDs]uint64
	count  int
}

func (r *recentIDs) add(id string) {
	r.hashes[r.count%maxRecentIDs] = maphash.String(idSeed, id)
	r.count++
}

func (r *recentIDs) contains(id string) bool {
	return slices.Contains(r.hashes[:min(r.count, maxRecentIDs)], maphash.String(idSeed, id))
}
