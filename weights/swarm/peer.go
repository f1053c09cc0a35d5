package swarm

import "github.com/snipestep/snipestep/core"

// Peer is an instance that takes part in a transfer.
type Peer struct {
	ID        core.InstanceID
	Location  core.Location
	ChunkAddr string // IP:port of its chunk server.
}
