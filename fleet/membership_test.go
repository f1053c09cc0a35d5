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

func heard(id core.InstanceID, incarnation, sequence uint64) fleet.Heartbeat {
	return fleet.Heartbeat{Instance: id, Incarnation: incarnation, Sequence: sequence}
}

func find(t assert.TestingT, m *fleet.Membership, id core.InstanceID) fleet.Member {
	member, ok := m.View().Find(id)
	assert.Assert(t, ok, "%s is unknown", id)
	return member
}

func TestOvertakenHeartbeatsAreIgnored(t *testing.T) {
	m := fleet.NewMembership(fleet.DefaultTiming)
	assert.Equal(t, m.Heartbeat(heard("a", 2, 5), start), fleet.HeartbeatNew)
	assert.Equal(t, m.Heartbeat(heard("a", 2, 5), start), fleet.HeartbeatOld)
	assert.Equal(t, m.Heartbeat(heard("a", 2, 4), start), fleet.HeartbeatOld)
	assert.Equal(t, m.Heartbeat(heard("a", 1, 9), start), fleet.HeartbeatOld)
	leaving := heard("a", 2, 6)
	leaving.Leaving = true
	assert.Equal(t, m.Heartbeat(leaving, start), fleet.HeartbeatKnown)
	assert.Assert(t, find(t, m, "a").Leaving)
	m.List([]core.Instance{{ID: "a", State: core.StateLive}}, start)
	assert.Assert(t, find(t, m, "a").Leaving, "the lagging list takes the announcement back")
	assert.Equal(t, m.Heartbeat(heard("a", 3, 1), start), fleet.HeartbeatNew)
	assert.Assert(t, !find(t, m, "a").Leaving)
}

func TestSilentInstancesDieAndAreReplaced(t *testing.T) {
	m := fleet.NewMembership(fleet.DefaultTiming)
	m.List([]core.Instance{{ID: "a"}, {ID: "unheard"}}, start)
	h := heard("a", 1, 1)
	h.SessionAddr = "10.0.0.1:1"
	m.Heartbeat(h, start)
	m.Tick(start.Add(fleet.DefaultTiming.SuspectAfter))
	assert.Equal(t, find(t, m, "a").State, fleet.MemberSuspect)
	m.Tick(start.Add(fleet.DefaultTiming.DeadAfter))
	assert.Equal(t, find(t, m, "a").State, fleet.MemberDead)
	assert.Equal(t, find(t, m, "unheard").State, fleet.MemberUnheard)
	h.Sequence = 2
	m.Heartbeat(h, start.Add(fleet.DefaultTiming.DeadAfter))
	assert.Equal(t, find(t, m, "a").State, fleet.MemberAlive)
	h.Instance = "b"
	m.Heartbeat(h, start.Add(fleet.DefaultTiming.DeadAfter))
	assert.Equal(t, find(t, m, "a").State, fleet.MemberDead)
	m.List([]core.Instance{{ID: "b"}}, start.Add(time.Hour))
	assert.Equal(t, len(m.View().Instances), 1)
}

// TestStatefulMembership compares with the highest heartbeat of each instance
// and with the set that has to be known.
func TestStatefulMembership(t *testing.T) {
	ids := []core.InstanceID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.NewMembership(fleet.DefaultTiming)
		now := start
		newest := make(map[core.InstanceID]fleet.Heartbeat)
		lastHeard := make(map[core.InstanceID]time.Time)
		listed := make(map[core.InstanceID]bool)
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				h := heard(rapid.SampledFrom(ids).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 9).Draw(t, "seq"))
				old, known := newest[h.Instance]
				isNew := !known || h.Incarnation > old.Incarnation || (h.Incarnation == old.Incarnation && h.Sequence > old.Sequence)
				assert.Equal(t, m.Heartbeat(h, now) != fleet.HeartbeatOld, isNew)
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
				m.List(list, now)
			},
			"": func(t *rapid.T) {
				for _, id := range ids {
					member, known := m.View().Find(id)
					at, wasHeard := lastHeard[id]
					recent := wasHeard && now.Sub(at) < fleet.DefaultTiming.ForgetAfter
					assert.Equal(t, known, listed[id] || recent, "%s", id)
					if !known {
						delete(newest, id)
					}
					if known && recent {
						alive := now.Sub(at) < fleet.DefaultTiming.DeadAfter
						assert.Equal(t, member.Usable(), alive, "%s", id)
					}
				}
			},
		})
	})
}
