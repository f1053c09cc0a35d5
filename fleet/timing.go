package fleet

import "time"

// Timing holds the time bounds of a Membership.
type Timing struct {
	// SuspectAfter is the silence after which an instance is suspect.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which an instance is dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which an unlisted instance is
	// forgotten. It is above the lag of the instance list.
	ForgetAfter time.Duration
}

// DefaultTiming suits heartbeats sent once a second.
var DefaultTiming = Timing{
	SuspectAfter: 3 * time.Second,
	DeadAfter:    6 * time.Second,
	ForgetAfter:  2 * time.Minute,
}
