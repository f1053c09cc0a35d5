package admission

import "time"

// Report is the load of an endpoint from all entries.
type Report struct {
	At      time.Time // When it arrived.
	Running int
	Waiting int
	// Slowdown is how many times slower than normal the endpoint works; 0 if
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
	// WeightsVersion is the version of the weights that is complete at the endpoint, 0 for
	// none.
	WeightsVersion uint64
}
