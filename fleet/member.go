package fleet

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// MemberState is what heartbeats say of an instance.
type MemberState uint8

// The states of members.
const (
	// MemberUnheard is listed and never sent a heartbeat here, which is
	// usual for instances outside the subset.
	MemberUnheard MemberState = iota
	// MemberAlive sends heartbeats.
	MemberAlive
	// MemberSuspect missed heartbeats for Timing.SuspectAfter.
	MemberSuspect
	// MemberDead missed heartbeats for Timing.DeadAfter, or was replaced.
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

// Member is what a Membership knows of one instance.
type Member struct {
	// Instance comes from the list. Of an instance that is not Listed yet,
	// only the ID and SessionAddr are known.
	Instance    core.Instance
	Incarnation uint64
	Sequence    uint64
	Generation  core.Generation
	State       MemberState
	// Leaving is set by the list or by a heartbeat, whichever comes first.
	Leaving   bool
	Listed    bool
	LastHeard time.Time
}

// Usable reports whether the instance may get new work.
func (m Member) Usable() bool {
	return !m.Leaving && m.State != MemberDead
}
