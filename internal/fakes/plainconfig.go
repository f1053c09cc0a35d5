package fakes

import "time"

// PlainConfig says how a plain service behaves. Ratios are from 0 to 1.
type PlainConfig struct {
	// Operations are the names that the service answers to.
	Operations []string
	Slots      int
	// Service is the time that an operation takes in its slot.
	Service time.Duration
	// Restart is the time after a crash during which calls get 503.
	Restart time.Duration
	// LateRatio is the part of the answers that come Late after the run.
	LateRatio float64
	Late      time.Duration
	// LostRatio is the part of the answers dropped after the run.
	LostRatio float64
	// ForeignRatio is the part of the answers that carry the attempt of
	// another call.
	ForeignRatio float64
	Seed         uint64
	Clock        Clock
	Sleep        Sleep
}
