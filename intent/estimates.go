package intent

import "time"

// Estimates are the transfer rates and the load time that plans are estimated
// with.
type Estimates struct {
	OriginBytesPerSecond   int64
	RegionBytesPerSecond   int64
	InstanceBytesPerSecond int64
	// LoadTime is how long an engine takes to load weights, verify what it serves
	// and return to service.
	LoadTime time.Duration
}

// DefaultEstimates assume 800 Mbit/s from the origin, 20 Mbit/s between regions
// and 400 Mbit/s at an instance.
var DefaultEstimates = Estimates{
	OriginBytesPerSecond:   100_000_000,
	RegionBytesPerSecond:   2_500_000,
	InstanceBytesPerSecond: 50_000_000,
	LoadTime:               200 * time.Millisecond,
}

const copiesPerInstance = 2 // Each instance receives one copy and sends about one.

// transferTime estimates how long weights take to reach every instance.
func (e Estimates) transferTime(bytes int64, fromOrigin, acrossRegions bool) time.Duration {
	if bytes == 0 {
		return 0
	}
	slowest := durationAtRate(bytes*copiesPerInstance, e.InstanceBytesPerSecond)
	if fromOrigin {
		slowest = max(slowest, durationAtRate(bytes, e.OriginBytesPerSecond))
	}
	if acrossRegions {
		slowest = max(slowest, durationAtRate(bytes, e.RegionBytesPerSecond))
	}
	return slowest
}

func durationAtRate(bytes, bytesPerSecond int64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(bytes) / float64(bytesPerSecond)
	return time.Duration(seconds * float64(time.Second))
}
