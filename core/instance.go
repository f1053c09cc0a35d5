package core

// InstanceRole is what an instance does in the fleet.
type InstanceRole string

// The roles of instances.
const (
	RoleEntry InstanceRole = "entry"
	RoleModel InstanceRole = "model"
	RolePlain InstanceRole = "plain"
)

// InstanceState is the state of an instance in the platform's instance list.
type InstanceState string

// The states of instances.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance describes one instance and the addresses of the snipestep process
// on it. Addresses are IP:port.
type Instance struct {
	ID       InstanceID    `json:"id"`
	Role     InstanceRole  `json:"role"`
	Service  string        `json:"service,omitempty"` // Name of the plain service, RolePlain only.
	Location Location      `json:"location"`
	State    InstanceState `json:"state"`
	// SessionAddr accepts yamux sessions over TCP.
	SessionAddr string `json:"session_addr"`
	// DatagramAddr receives UDP datagrams.
	DatagramAddr string `json:"datagram_addr"`
	// ChunkAddr serves weight chunks over TCP, RoleModel only.
	ChunkAddr string `json:"chunk_addr,omitempty"`
}
