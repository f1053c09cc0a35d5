package agent

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights/swarm"
	"github.com/snipestep/snipestep/wire"
)

// targetList holds the targets of a transfer as an entry last gave them. It is
// safe for concurrent use.
type targetList struct {
	held atomic.Pointer[heldTargets]
}

// heldTargets is one list with its hash.
type heldTargets struct {
	peers []swarm.Peer
	hash  uint64
}

func newTargetList(answer *wire.SwarmResponse) *targetList {
	t := &targetList{}
	t.held.Store(&heldTargets{})
	t.update(answer)
	return t
}

// update takes an answer; one without targets leaves the list as it is.
func (t *targetList) update(answer *wire.SwarmResponse) {
	if len(answer.GetPeers()) == 0 {
		return
	}
	held := &heldTargets{hash: answer.GetTargetsHash()}
	for _, p := range answer.GetPeers() {
		held.peers = append(held.peers, swarm.Peer{
			ID:        core.InstanceID(p.GetInstance()),
			Location:  core.Location{Region: p.GetRegion(), FailureDomain: p.GetFailureDomain()},
			ChunkAddr: p.GetChunkAddr(),
		})
	}
	t.held.Store(held)
}

// peers returns the targets; the slice must not be changed.
func (t *targetList) peers() []swarm.Peer {
	return t.held.Load().peers
}

func (t *targetList) hash() uint64 {
	return t.held.Load().hash
}
