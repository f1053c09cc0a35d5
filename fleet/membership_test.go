package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

var start = time.Unix(1000, 0)

func newHeartbeat(id core.InstanceID, incarnation, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{Instance: id, Incarnation: incarnation, Sequence: sequence}
}

func findMember(t assert.TestingT, m *fleet.Membership, id core.InstanceID) fleet.Member {
	member, ok := m.View().Find(id)
	assert.Assert(t, ok, "%s is unknown", id)
	return member
}

func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	m := fleet.NewMembership(fleet.DefaultTiming)
	assert.Equal(t, m.HandleHeartbeat(newHeartbeat("a", 2, 5), start), fleet.HeartbeatNewIncarnation)
	assert.Equal(t, m.HandleHeartbeat(newHeartbeat("a", 2, 5), start), fleet.HeartbeatStale)
	assert.Equal(t, m.HandleHeartbeat(newHeartbeat("a", 2, 4), start), fleet.HeartbeatStale)
	assert.Equal(t, m.HandleHeartbeat(newHeartbeat("a", 1, 9), start), fleet.HeartbeatStale)
	leaving := newHeartbeat("a", 2, 6)
	leaving.Leaving = true
	assert.Equal(t, m.HandleHeartbeat(leaving, start), fleet.HeartbeatSameIncarnation)
	assert.Assert(t, findMember(t, m, "a").Leaving)
	m.ApplyInstanceList([]core.Instance{{ID: "a", State: core.StateLive}}, start)
	assert.Assert(t, findMember(t, m, "a").Leaving, "the outdated list cleared the leaving state of a heartbeat")
	assert.Equal(t, m.HandleHeartbeat(newHeartbeat("a", 3, 1), start), fleet.HeartbeatNewIncarnation)
	assert.Assert(t, !findMember(t, m, "a").Leaving)
}

// Guards against an instance that gets no calls after its restart: a list from before the
// restart marked the new incarnation as leaving for good.
func TestLeavingInAnOutdatedListEndsWithTheNextList(t *testing.T) {
	m := fleet.NewMembership(fleet.DefaultTiming)
	leaving, live := core.Instance{ID: "a", State: core.StateLeaving}, core.Instance{ID: "a", State: core.StateLive}
	m.HandleHeartbeat(newHeartbeat("a", 1, 1), start)
	m.ApplyInstanceList([]core.Instance{leaving}, start)
	assert.Assert(t, findMember(t, m, "a").Leaving)
	m.HandleHeartbeat(newHeartbeat("a", 2, 1), start)
	m.ApplyInstanceList([]core.Instance{leaving}, start)
	assert.Assert(t, findMember(t, m, "a").Leaving)
	m.ApplyInstanceList([]core.Instance{live}, start)
	assert.Assert(t, findMember(t, m, "a").Usable())
}

func TestSilentAndReplacedInstancesAreDead(t *testing.T) {
	m := fleet.NewMembership(fleet.DefaultTiming)
	m.ApplyInstanceList([]core.Instance{{ID: "a"}, {ID: "unheard"}}, start)
	h := newHeartbeat("a", 1, 1)
	h.SessionAddr = "10.0.0.1:1"
	m.HandleHeartbeat(h, start)
	m.Tick(start.Add(fleet.DefaultTiming.SuspectAfter))
	assert.Equal(t, findMember(t, m, "a").State, fleet.MemberSuspect)
	m.Tick(start.Add(fleet.DefaultTiming.DeadAfter))
	assert.Equal(t, findMember(t, m, "a").State, fleet.MemberDead)
	assert.Equal(t, findMember(t, m, "unheard").State, fleet.MemberUnheard)
	h.Sequence = 2
	m.HandleHeartbeat(h, start.Add(fleet.DefaultTiming.DeadAfter))
	assert.Equal(t, findMember(t, m, "a").State, fleet.MemberAlive)
	h.Instance = "b"
	m.HandleHeartbeat(h, start.Add(fleet.DefaultTiming.DeadAfter))
	assert.Equal(t, findMember(t, m, "a").State, fleet.MemberDead)
	m.ApplyInstanceList([]core.Instance{{ID: "b"}}, start.Add(time.Hour))
	assert.Equal(t, len(m.View().Instances), 1)
}

// TestMembershipMatchesReferenceModel compares Membership with a reference model
// of the newest heartbeat of each instance and of the members that must be known.
// The incarnation is a time of day. If the clock was set back before the restart, the
// new one is lower, and an instance that stays listed must not be lost for it.
func TestLowerIncarnationIsAcceptedOnceTheOldOneIsLongDead(t *testing.T) {
	m := fleet.NewMembership(fleet.DefaultTiming)
	m.ApplyInstanceList([]core.Instance{{ID: "a"}}, start)
	m.HandleHeartbeat(newHeartbeat("a", 100, 7), start)
	later := start.Add(2 * fleet.DefaultTiming.RemoveAfter)
	m.Tick(later)
	m.ApplyInstanceList([]core.Instance{{ID: "a"}}, later)
	m.HandleHeartbeat(newHeartbeat("a", 50, 1), later)
	assert.Equal(t, findMember(t, m, "a").State, fleet.MemberAlive)
}

func TestMembershipMatchesReferenceModel(t *testing.T) {
	ids := []core.InstanceID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.NewMembership(fleet.DefaultTiming)
		now := start
		newest := make(map[core.InstanceID]fleet.Heartbeat)
		lastHeard := make(map[core.InstanceID]time.Time)
		listed := make(map[core.InstanceID]bool)
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				h := newHeartbeat(rapid.SampledFrom(ids).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 9).Draw(t, "seq"))
				old, known := newest[h.Instance]
				isNew := !known || h.Incarnation > old.Incarnation || (h.Incarnation == old.Incarnation && h.Sequence > old.Sequence)
				assert.Equal(t, m.HandleHeartbeat(h, now) != fleet.HeartbeatStale, isNew)
				if isNew {
					newest[h.Instance], lastHeard[h.Instance] = h, now
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
				m.Tick(now)
			},
			"list": func(t *rapid.T) {
				var list []core.Instance
				for _, id := range ids {
					listed[id] = rapid.Bool().Draw(t, "listed")
					if listed[id] {
						list = append(list, core.Instance{ID: id})
					}
				}
				m.ApplyInstanceList(list, now)
			},
			"": func(t *rapid.T) {
				for _, id := range ids {
					member, known := m.View().Find(id)
					heardAt, wasHeard := lastHeard[id]
					recent := wasHeard && now.Sub(heardAt) < fleet.DefaultTiming.RemoveAfter
					assert.Equal(t, known, listed[id] || recent, "%s", id)
					if !known {
						delete(newest, id)
					}
					if known && recent {
						alive := now.Sub(heardAt) < fleet.DefaultTiming.DeadAfter
						assert.Equal(t, member.Usable(), alive, "%s", id)
					}
				}
			},
		})
	})
}
