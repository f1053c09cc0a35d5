package places

import "time"

// Report is the load of an endpoint over all entries.
type Report struct {
	At      time.Time // When it arrived.
	Running int
	Waiting int
	// Pace is how many times slower than usual the endpoint works; 0 stands
	// for unknown.
	Pace float64
	// Delay is how long the way to the endpoint and back takes; 0 stands for
	// unknown.
	Delay time.Duration
	// Closed says that the endpoint takes no new requests now.
	Closed bool
	// ClosesAt is when it will do so; zero if it will not soon.
	ClosesAt time.Time
	// Demand is what waits at all entries together, as Pool.Demand counts it.
	Demand float64
	// Held is the version of the weights that is whole there, 0 for none.
	Held uint64
}
