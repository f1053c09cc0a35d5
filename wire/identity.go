package wire

import "github.com/snipestep/snipestep/core"

// Identity is what a process says of itself when a session opens. The key is
// shared by the whole fleet.
type Identity struct {
	Instance    core.InstanceID
	Incarnation uint64
	FleetKey    []byte
	// Faults, if set, counts what peers send against the protocol.
	Faults *ProtocolFaults
}
