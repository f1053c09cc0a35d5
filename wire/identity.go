package wire

import "github.com/snipestep/snipestep/core"

// Identity is what a process presents and proves in the handshake of a
// session. The whole fleet shares the key.
type Identity struct {
	Instance    core.InstanceID
	Incarnation uint64
	FleetKey    []byte
	// Faults, if set, counts protocol violations by peers.
	Faults *ProtocolFaults
}
