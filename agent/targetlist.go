package agent

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights/swarm"
	"github.com/snipestep/snipestep/wire"
)

// targetList is the list of a transfer's targets that an entry last sent. It is
// safe for concurrent use.
type targetList struct {
	current atomic.Pointer[targetSnapshot]
}

// targetSnapshot is one list of targets with its hash.
type targetSnapshot struct {
	peers []swarm.Peer
	hash  uint64
}

func newTargetList(response *wire.SwarmResponse) *targetList {
	t := &targetList{}
	t.current.Store(&targetSnapshot{})
	t.update(response)
	return t
}

// update replaces the list with that of a response. A response without targets
// leaves it unchanged.
func (t *targetList) update(response *wire.SwarmResponse) {
	if len(response.GetPeers()) == 0 {
		return
	}
	snapshot := &targetSnapshot{hash: response.GetTargetsHash()}
	for _, p := range response.GetPeers() {
		snapshot.peers = append(snapshot.peers, swarm.Peer{
			ID:        core.InstanceID(p.GetInstance()),
			Location:  core.Location{Region: p.GetRegion(), FailureDomain: p.GetFailureDomain()},
			ChunkAddr: p.GetChunkAddr(),
		})
	}
	t.current.Store(snapshot)
}

// peers returns the targets. The caller must not change the slice.
func (t *targetList) peers() []swarm.Peer {
	return t.current.Load().peers
}

func (t *targetList) hash() uint64 {
	return t.current.Load().hash
}
