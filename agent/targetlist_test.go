package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/wire"
)

func TestTargetsAreKeptWhenResponseHasNone(t *testing.T) {
	list := newTargetList(&wire.SwarmResponse{TargetsHash: 7, Peers: []*wire.Peer{{Instance: "a"}}})
	list.update(&wire.SwarmResponse{TargetsHash: 7})
	assert.Equal(t, list.hash(), uint64(7))
	assert.Equal(t, len(list.peers()), 1)
	list.update(&wire.SwarmResponse{TargetsHash: 8, Peers: []*wire.Peer{{Instance: "a"}, {Instance: "b"}}})
	assert.Equal(t, list.hash(), uint64(8))
	assert.Equal(t, len(list.peers()), 2)
}
