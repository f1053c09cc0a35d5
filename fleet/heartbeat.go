package fleet

import "github.com/snipestep/snipestep/core"

// Heartbeat is the membership part of a datagram.
type Heartbeat struct {
	Instance    core.InstanceID
	Incarnation uint64
	// Sequence grows with each datagram of an incarnation.
	Sequence    uint64
	Generation  core.Generation
	Leaving     bool
	SessionAddr string // Empty when the sender does not announce it.
}

// HeartbeatResult says what a heartbeat changed.
type HeartbeatResult int

// The results of Membership.Heartbeat.
const (
	// HeartbeatOld was overtaken by another one and is ignored.
	HeartbeatOld HeartbeatResult = iota
	// HeartbeatKnown belongs to the incarnation already known.
	HeartbeatKnown
	// HeartbeatNew is the first one of an incarnation.
	HeartbeatNew
	// HeartbeatRefused would exceed the bound on unlisted instances.
	HeartbeatRefused
)
