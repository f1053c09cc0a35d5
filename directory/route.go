package directory

import "time"

// Repeatability says what may be done again with a request of a route.
type Repeatability uint8

// The kinds of routes.
const (
	// RunOnce requests run at most once.
	RunOnce Repeatability = iota
	// RunAgain requests may run any number of times.
	RunAgain
	// Stream requests are answered by events with increasing numbers. They
	// run at most once unless the route is resumable.
	Stream
)

// Backend is one service of a route with its part of the requests.
type Backend struct {
	Service string
	Weight  int // Relative to the other backends of the route.
}

// Route says how the requests under one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string // Begins and ends with a slash.
	Kind   Repeatability
	// Resumable streams may go on at another endpoint after a break.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout bounds the whole answer; 0 stands for no bound.
	Timeout time.Duration
	// Aim is the time within which an answer, or a stream's first event,
	// earns its full worth.
	Aim time.Duration
	// GapAim is the longest pause between two events that is still on time.
	GapAim time.Duration
	// Priority is the urgency, 0 first.
	Priority int
	// MaxRuns is the number of endpoints that may run one request.
	MaxRuns  int
	Backends []Backend
}

// Repeatable reports whether a request may be sent again after it may have
// begun to run.
func (r *Route) Repeatable() bool {
	return r.Kind == RunAgain || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for a draw between 0 and 1, by the backends'
// weights. It returns "" for a route without backends.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := draw * float64(total)
	for _, b := range r.Backends {
		at -= float64(b.Weight)
		if at < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}
