package fleet

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
)

const maxUnlistedMembers = 4096

// Membership merges the instance list, which lags behind, with heartbeats. One
// goroutine calls its event methods; View may be called from any.
type Membership struct {
	timing        Timing
	members       map[core.InstanceID]*Member
	unlistedCount int
	view          atomic.Pointer[MembershipView]
}

// NewMembership returns an empty membership.
func NewMembership(timing Timing) *Membership {
	m := &Membership{timing: timing, members: make(map[core.InstanceID]*Member)}
	m.view.Store(&MembershipView{})
	return m
}

// View returns the latest snapshot.
func (m *Membership) View() *MembershipView {
	return m.view.Load()
}

// ApplyInstanceList applies a result of the instance list. An instance that is
// no longer listed is kept while it sends heartbeats.
func (m *Membership) ApplyInstanceList(instances []core.Instance, now time.Time) {
	for _, member := range m.members {
		member.Listed = false
	}
	for _, instance := range instances {
		m.applyListed(instance)
	}
	m.removeExpired(now)
	m.publish()
}

// HandleHeartbeat applies the heartbeat of one datagram.
func (m *Membership) HandleHeartbeat(h Heartbeat, now time.Time) HeartbeatResult {
	member, known := m.members[h.Instance]
	if !known {
		if m.unlistedCount >= maxUnlistedMembers {
			return HeartbeatRefused
		}
		member = m.add(core.Instance{ID: h.Instance})
		m.unlistedCount++
	}
	if isStale(member, h) {
		return HeartbeatStale
	}
	result := HeartbeatSameIncarnation
	if h.Incarnation > member.Incarnation {
		beginIncarnation(member, h)
		result = HeartbeatNewIncarnation
	}
	changed := result == HeartbeatNewIncarnation || changesMember(member, h)
	m.record(member, h, now)
	if changed {
		m.publish()
	}
	return result
}

// Tick updates the members' states to the given time and removes expired
// members. Call it about once per heartbeat period.
func (m *Membership) Tick(now time.Time) {
	changed := false
	for _, member := range m.members {
		state := m.stateAt(member, now)
		changed = changed || state != member.State
		member.State = state
	}
	removed := m.removeExpired(now)
	if changed || removed {
		m.publish()
	}
}

func (m *Membership) add(instance core.Instance) *Member {
	member := &Member{Instance: instance}
	m.members[instance.ID] = member
	return member
}

func (m *Membership) applyListed(instance core.Instance) {
	member, ok := m.members[instance.ID]
	if !ok {
		member = m.add(instance)
	}
	if instance.SessionAddr == "" {
		instance.SessionAddr = member.Instance.SessionAddr
	}
	member.Instance = instance
	member.Listed = true
	member.Leaving = member.announcedLeaving || instance.State == core.StateLeaving
}

func isStale(member *Member, h Heartbeat) bool {
	if h.Incarnation != member.Incarnation {
		return h.Incarnation < member.Incarnation
	}
	return member.State != MemberUnheard && h.Sequence <= member.Sequence
}

func beginIncarnation(member *Member, h Heartbeat) {
	member.Incarnation = h.Incarnation
	member.Sequence = 0
	member.Leaving = false
	member.announcedLeaving = false
}

func changesMember(member *Member, h Heartbeat) bool {
	return member.State != MemberAlive ||
		(h.Leaving && !member.Leaving) ||
		h.Generation != member.Generation ||
		(h.SessionAddr != "" && h.SessionAddr != member.Instance.SessionAddr)
}

func (m *Membership) record(member *Member, h Heartbeat, now time.Time) {
	member.Sequence = h.Sequence
	member.Generation = h.Generation
	member.State = MemberAlive
	member.LastHeartbeat = now
	if h.Leaving {
		member.Leaving = true
		member.announcedLeaving = true
	}
	if h.SessionAddr != "" {
		member.Instance.SessionAddr = h.SessionAddr
		m.markReplaced(h.SessionAddr, member)
	}
}

// markReplaced marks other members with the owner's session address as dead.
func (m *Membership) markReplaced(addr string, owner *Member) {
	for _, other := range m.members {
		if other != owner && other.Instance.SessionAddr == addr {
			other.State = MemberDead
		}
	}
}

func (m *Membership) stateAt(member *Member, now time.Time) MemberState {
	if member.State == MemberUnheard || member.State == MemberDead {
		return member.State
	}
	silence := now.Sub(member.LastHeartbeat)
	switch {
	case silence >= m.timing.DeadAfter:
		return MemberDead
	case silence >= m.timing.SuspectAfter:
		return MemberSuspect
	}
	return MemberAlive
}

// removeExpired removes unlisted members without recent heartbeats.
func (m *Membership) removeExpired(now time.Time) bool {
	removed := false
	m.unlistedCount = 0
	for id, member := range m.members {
		if member.Listed {
			continue
		}
		if m.expired(member, now) {
			delete(m.members, id)
			removed = true
			continue
		}
		m.unlistedCount++
	}
	return removed
}

func (m *Membership) expired(member *Member, now time.Time) bool {
	if member.State == MemberUnheard {
		return true
	}
	return now.Sub(member.LastHeartbeat) >= m.timing.RemoveAfter
}

func (m *Membership) publish() {
	view := &MembershipView{Instances: make([]Member, 0, len(m.members))}
	for _, member := range m.members {
		view.Instances = append(view.Instances, *member)
	}
	sort.Slice(view.Instances, func(i, j int) bool {
		return view.Instances[i].Instance.ID < view.Instances[j].Instance.ID
	})
	m.view.Store(view)
}
