package fakes

// TrafficClass says what an address carries.
type TrafficClass int

// The classes of traffic.
const (
	// TrafficCalls is everything but weights.
	TrafficCalls TrafficClass = iota
	// TrafficWeights is weight chunks.
	TrafficWeights
	trafficClasses
)
