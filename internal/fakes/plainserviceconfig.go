package fakes

import "time"

// PlainServiceConfig sets the behaviour of a PlainService. Ratios are from 0 to 1.
type PlainServiceConfig struct {
	// Operations are the names of the service's operations.
	Operations []string
	Slots      int
	// ServiceTime is the time that an operation takes in its slot.
	ServiceTime time.Duration
	// RestartDuration is the time after a crash during which calls get 503.
	RestartDuration time.Duration
	// DelayedResponseRatio is the share of responses that are delayed by
	// ResponseDelay after the run.
	DelayedResponseRatio float64
	ResponseDelay        time.Duration
	// DroppedResponseRatio is the share of responses dropped after the run.
	DroppedResponseRatio float64
	// AttemptMismatchRatio is the share of responses replaced by that of an
	// earlier call, with the attempt of that call.
	AttemptMismatchRatio float64
	Seed                 uint64
	Clock                Clock
	Sleep                Sleep
}
