package fleet

import "time"

// Timing holds the failure-detection timeouts of a Membership.
type Timing struct {
	// SuspectAfter is the time without heartbeats after which an instance is
	// suspect.
	SuspectAfter time.Duration
	// DeadAfter is the time without heartbeats after which an instance is dead.
	DeadAfter time.Duration
	// RemoveAfter is the time without heartbeats after which an unlisted instance
	// is removed. It exceeds the lag of the instance list.
	RemoveAfter time.Duration
}

// DefaultTiming is for heartbeats sent once a second.
var DefaultTiming = Timing{
	SuspectAfter: 3 * time.Second,
	DeadAfter:    6 * time.Second,
	RemoveAfter:  2 * time.Minute,
}
