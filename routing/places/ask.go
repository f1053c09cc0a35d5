package places

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Ask is a request for a place.
type Ask struct {
	ID uint64 // Unique within one Pool.
	// Rank is the urgency, 0 first.
	Rank         int
	Organisation core.OrganisationID
	Arrived      time.Time
	// OnTimeUntil is the latest start with which the answer is on time.
	OnTimeUntil time.Time
	// GiveUp is the latest start that is of any use.
	GiveUp time.Time
	// Begun requests have already run in part; they go before all others.
	Begun bool
	// Returned requests were refused before and came back as told.
	Returned bool
	// Size is the expected tokens of prompt and answer; it is what an
	// organisation is charged for its fair share.
	Size float64
	// Prompt is the tokens that are read before the first event.
	Prompt float64
	// Tight requests have an aim that leaves little time beyond what an idle
	// endpoint needs.
	Tight bool
	// Expected is how long the request will keep its place.
	Expected time.Duration
	// Without lists endpoints that must not run the request.
	Without []string
}

// class orders asks: lower values start first.
type class uint8

const (
	classBegun class = iota
	classOnTime
	classLate
)

func (a *Ask) class(now time.Time) class {
	switch {
	case a.Begun:
		return classBegun
	case now.After(a.OnTimeUntil):
		return classLate
	default:
		return classOnTime
	}
}
