package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// newTestSwarm returns a server with two listed agents and the empty
// configuration.
func newTestSwarm(now time.Time) *swarmServer {
	membership := fleet.NewMembership(fleet.DefaultTiming)
	membership.ApplyInstanceList([]core.Instance{
		{ID: "a", Role: core.RoleModel, State: core.StateLive},
		{ID: "b", Role: core.RoleModel, State: core.StateLive},
	}, now)
	return &swarmServer{documents: fleet.NewDocumentHolder(), routes: &routes{membership: membership}}
}

func newPlacementDocument(ref core.ModelRef) *fleet.Document {
	return &fleet.Document{Generation: 1, Placements: []fleet.Placement{{Model: ref}}}
}

func TestNoTargetsBeforeTheConfiguration(t *testing.T) {
	ref := core.ModelRef{Model: "m", Version: "v1", Manifest: core.Digest{1}}
	s := newTestSwarm(time.Unix(0, 0))
	_, placed := s.targets(ref.Manifest)
	assert.Assert(t, !placed)
	s.documents.Apply(newPlacementDocument(ref))
	peers, placed := s.targets(ref.Manifest)
	assert.Assert(t, placed)
	assert.Equal(t, len(peers), 2)
}

func TestDeadAgentsStayTargets(t *testing.T) {
	ref := core.ModelRef{Model: "m", Version: "v1", Manifest: core.Digest{1}}
	start := time.Unix(0, 0)
	s := newTestSwarm(start)
	s.documents.Apply(newPlacementDocument(ref))
	membership := s.routes.membership
	membership.HandleHeartbeat(fleet.Heartbeat{Instance: "a", Incarnation: 1, Sequence: 1}, start)
	membership.Tick(start.Add(fleet.DefaultTiming.DeadAfter))
	peers, _ := s.targets(ref.Manifest)
	assert.Equal(t, len(peers), 2)
	membership.HandleHeartbeat(fleet.Heartbeat{Instance: "a", Incarnation: 1, Sequence: 2, Leaving: true}, start)
	peers, _ = s.targets(ref.Manifest)
	assert.Equal(t, len(peers), 1)
}
