package fakes

import "time"

// PlainServiceConfig sets the behaviour of a PlainService. Ratios are from 0 to 1.
type PlainConfig struct {
	// Operations are the names of the service's operations.
	Operations []string
	Slots      int
	// ServiceTime is the time that an operation takes in its slot.
	Service time.Duration
	// RestartDuration is the time after a crash during which calls get 503.
	Restart time.Duration
	// DelayedResponseRatio is the share of responses that are delayed by
	// ResponseDelay after the run.
	LateRatio float64
	Late      time.Duration
	// DroppedResponseRatio is the share of responses dropped after the run.
	LostRatio float64
	// AttemptMismatchRatio is the share of responses replaced by that of
	// another call, with the attempt of that call.
	ForeignRatio float64
	Seed         uint64
	Clock        Clock
	Sleep        Sleep
}
