package directory

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// RouteKind says whether requests of a route may run more than once and how they
// are answered.
type RouteKind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests are answered by events with increasing numbers. They
	// run at most once unless the route is resumable.
	Streaming
)

// Backend is a service of a route and its share of the requests.
type Backend struct {
	Service string
	Weight  int // Relative to the other backends of the route.
}

// Route says how the requests under one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string // Begins and ends with a slash.
	Kind   RouteKind
	// Resumable streams may be resumed at another endpoint after a failure.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout bounds the time to the complete response; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which a response, or a stream's first event,
	// has its full value.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest pause between two events.
	GapTarget time.Duration
	// Priority orders requests, 0 first.
	Priority int
	// MaxRuns is the number of endpoints that may run one request.
	MaxRuns  int
	Backends []Backend
	// Regions are the regions in which requests of the route may be served, nil for all.
	Regions *core.RegionSet
}

// Retryable reports whether a request may be sent again although it may
// already have started to run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Pick selects a service by the backends' weights; draw is a random number from
// 0 up to 1. It returns "" for a route without backends.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := draw * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(b.Weight)
		if remaining < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}
