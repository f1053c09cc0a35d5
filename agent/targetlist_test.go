package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/wire"
)

func TestTargetsAreKeptWhenResponseHasNone(t *testing.T) {
	targets := newTargetList(&wire.SwarmResponse{TargetsHash: 7, Peers: []*wire.Peer{{Instance: "a"}}})
	targets.update(&wire.SwarmResponse{TargetsHash: 7})
	assert.Equal(t, targets.hash(), uint64(7))
	assert.Equal(t, len(targets.peers()), 1)
	targets.update(&wire.SwarmResponse{TargetsHash: 8, Peers: []*wire.Peer{{Instance: "a"}, {Instance: "b"}}})
	assert.Equal(t, targets.hash(), uint64(8))
	assert.Equal(t, len(targets.peers()), 2)
}
