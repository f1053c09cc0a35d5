package admission

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Request describes a request that needs a slot.
type Request struct {
	ID uint64 // Unique within one Pool.
	// Rank is the priority; 0 is the most urgent.
	Rank         int
	Organisation core.OrganisationID
	ArrivedAt    time.Time
	// SoftDeadline is the latest start at which the response is still on time.
	SoftDeadline time.Time
	// HardDeadline is the latest start at which the response is of any use.
	HardDeadline time.Time
	// Resumed marks a request whose response was interrupted and is continued; it
	// precedes all others.
	Resumed bool
	// ClientRetry marks a request that was refused before and that the client
	// sends again.
	ClientRetry bool
	// Requeued marks a request that was not sent to the endpoint that was chosen for it. It does not
	// count as a further arrival.
	Requeued bool
	// TotalTokens is the expected number of tokens of prompt and response. It counts
	// towards the usage of the organisation.
	TotalTokens float64
	// PromptTokens is the number of tokens to prefill before the first event.
	PromptTokens float64
	// LatencyCritical marks a request whose latency target is little longer than an
	// idle endpoint needs to respond.
	LatencyCritical bool
	// ExpectedServiceTime is how long the request is expected to occupy its slot.
	ExpectedServiceTime time.Duration
	// MeanFirstResponse is the mean time to the first part of a response of the service, 0 if
	// unknown.
	MeanFirstResponse time.Duration
	// MinVersion is the oldest version of the weights at the endpoint that is chosen, beside
	// that of the pool; 0 for none.
	MinVersion uint64
	// Moved marks a request that is moved off an endpoint before its response has begun. Like one
	// that is resumed it takes any slot.
	Moved bool
	// Stranded marks a request that is moved off an unresponsive endpoint. It precedes all but resumed
	// ones: its caller has waited longest, and nothing comes where it is.
	Stranded bool
	// Stream marks a request whose response is a stream, of which each event is recorded as
	// progress.
	Stream bool
	// Kilobytes is the expected size of request and response.
	Kilobytes float64
	// ExcludedEndpoints lists the IDs of endpoints that must not run the request.
	ExcludedEndpoints []string
	// Regions are the regions to whose endpoints the request may be sent, nil for all.
	Regions *core.RegionSet
}

// usage returns what the request adds to the usage of its organisation.
func (r *Request) usage() float64 {
	return max(r.TotalTokens, 1)
}

// goesFirst reports whether a request precedes all new ones, however late it is.
func (r *Request) goesFirst() bool {
	return r.Resumed || r.Stranded
}

// class orders requests: lower values start first.
type class uint8

const (
	classResumed class = iota
	classStranded
	classOnTime
	classLate
)

func (r *Request) class(now time.Time) class {
	switch {
	case r.Resumed:
		return classResumed
	case r.Stranded:
		return classStranded
	case now.After(r.SoftDeadline):
		return classLate
	default:
		return classOnTime
	}
}
