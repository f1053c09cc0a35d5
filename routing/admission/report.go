package admission

import (
	"time"

	"github.com/snipestep/snipestep/routing/sharedrate"
)

// Report is the load that all entries together put on an endpoint.
type Report struct {
	ReceivedAt time.Time
	// Order increases with the time at which the reports of an endpoint were sent; 0 if
	// unknown.
	Order   int64
	Running int // Requests that occupy a slot.
	Waiting int // Requests that are queued at the endpoint.
	// Slowdown is the factor by which the endpoint is slower than normal; 0 if
	// unknown.
	Slowdown float64
	// RoundTrip is the round-trip time to the endpoint; 0 if unknown.
	RoundTrip time.Duration
	// Closed says that the endpoint accepts no new requests at present.
	Closed bool
	// ClosesAt is when the endpoint will close; zero if it will not soon.
	ClosesAt time.Time
	// Demand is the sum of Pool.Demand over all entries.
	Demand float64
	// LoadedVersion is the version of the weights that is completely loaded, 0 for
	// none.
	LoadedVersion uint64
	// Start tells since when the endpoint runs; its ReceivedAt is not used.
	Start sharedrate.Start
}
