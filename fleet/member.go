package fleet

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// MemberState is the liveness of an instance according to its heartbeats.
type MemberState uint8

// The liveness states of a member.
const (
	// MemberUnheard is listed, but no heartbeat of it has been received, which is
	// normal for instances outside the subset.
	MemberUnheard MemberState = iota
	// MemberAlive has sent a heartbeat within Timing.SuspectAfter.
	MemberAlive
	// MemberSuspect has sent no heartbeat for Timing.SuspectAfter.
	MemberSuspect
	// MemberDead has sent no heartbeat for Timing.DeadAfter, or was replaced.
	MemberDead
)

var memberStateNames = [...]string{"unheard", "alive", "suspect", "dead"}

// String returns the state's name.
func (s MemberState) String() string {
	if int(s) >= len(memberStateNames) {
		return "unknown"
	}
	return memberStateNames[s]
}

// Member is the state that a Membership keeps about one instance.
type Member struct {
	// Instance comes from the instance list. Until the instance is Listed, only
	// its ID and SessionAddr are known.
	Instance    core.Instance
	Incarnation uint64
	Sequence    uint64
	Generation  core.Generation
	State       MemberState
	// Leaving is set by the instance list or by a heartbeat, whichever comes
	// first.
	Leaving       bool
	Listed        bool
	LastHeartbeat time.Time

	// announcedLeaving says that a heartbeat of this incarnation set Leaving, which an
	// outdated list does not undo.
	announcedLeaving bool
}

// Usable reports whether the instance may get new work.
func (m Member) Usable() bool {
	return !m.Leaving && m.State != MemberDead
}
