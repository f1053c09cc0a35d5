package fleet

import "github.com/snipestep/snipestep/core"

// Heartbeat is the membership information in a datagram.
type Heartbeat struct {
	Instance    core.InstanceID
	Incarnation uint64
	// Sequence increases with each datagram of an incarnation.
	Sequence    uint64
	Generation  core.Generation
	Leaving     bool
	SessionAddr string // Empty when the sender does not announce it.
}

// HeartbeatResult is the outcome of Membership.HandleHeartbeat.
type HeartbeatResult int

// The outcomes of Membership.HandleHeartbeat.
const (
	// HeartbeatStale is not newer than one already received and is ignored.
	HeartbeatStale HeartbeatResult = iota
	// HeartbeatSameIncarnation belongs to the known incarnation.
	HeartbeatSameIncarnation
	// HeartbeatNewIncarnation is the first heartbeat of an incarnation.
	HeartbeatNewIncarnation
	// HeartbeatRefused would exceed the limit on unlisted instances.
	HeartbeatRefused
)
