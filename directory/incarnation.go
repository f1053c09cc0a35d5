package directory

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// IncarnationHash identifies one incarnation of an endpoint in datagrams. An endpoint may
// start again under its ID, so that its start time, in Unix milliseconds, is a part of it.
func IncarnationHash(endpointID string, startedUnixMS int64) uint64 {
	return xxhash.Sum64String(endpointID + " " + strconv.FormatInt(startedUnixMS, 10))
}

// IncarnationHash identifies this incarnation of the endpoint in datagrams.
func (e *Endpoint) IncarnationHash() uint64 {
	return IncarnationHash(e.ID, e.StartedUnixMS)
}
