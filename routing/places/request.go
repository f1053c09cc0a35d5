package places

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Ask describes a request that needs a slot.
type Ask struct {
	ID uint64 // Unique within one Pool.
	// Rank is the priority; 0 is the most urgent.
	Rank         int
	Organisation core.OrganisationID
	Arrived      time.Time
	// OnTimeUntil is the latest start at which the response is still on time.
	OnTimeUntil time.Time
	// GiveUp is the latest start at which the response is of any use.
	GiveUp time.Time
	// Begun marks a request whose response was interrupted and is continued; it
	// goes before all others.
	Begun bool
	// Returned marks a request that was refused before and that the client
	// sends again.
	Returned bool
	// Size is the expected number of tokens of prompt and response. It is added
	// to the usage of the organisation.
	Size float64
	// Prompt is the number of tokens to prefill before the first event.
	Prompt float64
	// Tight marks a request whose latency target leaves little time beyond what
	// an idle endpoint needs.
	Tight bool
	// Expected is how long the request is expected to occupy its slot.
	Expected time.Duration
	// Without lists the IDs of endpoints that must not run the request.
	Without []string
}

// class orders requests: lower values start first.
type class uint8

const (
	classResumed class = iota
	classOnTime
	classLate
)

func (r *Ask) class(now time.Time) class {
	switch {
	case r.Begun:
		return classResumed
	case now.After(r.OnTimeUntil):
		return classLate
	default:
		return classOnTime
	}
}
