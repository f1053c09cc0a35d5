package fakes

// LinksConfig sets the bandwidth and latency of links. Rates are in megabits a
// second and apply to each direction; 0 is no limit.
type LinksConfig struct {
	// InstanceMbps is the rate of each instance's link.
	InstanceMbps float64
	// OriginMbps is the rate of the origin's link.
	OriginMbps float64
	// RegionMbps is the rate from each region to each other region.
	RegionMbps float64
	// RegionLatencyMS is the one-way latency between regions.
	RegionLatencyMS float64
	// LocalLatencyMS is the one-way latency within a region.
	LocalLatencyMS float64
	Clock          Clock
	Sleep          Sleep
}
