package fakes

// TrafficClass is the kind of traffic that an address carries.
type TrafficClass int

// Traffic classes.
const (
	// TrafficCalls is everything but weights.
	TrafficCalls TrafficClass = iota
	// TrafficWeights is weight chunks.
	TrafficWeights
	trafficClasses
)
