package intent

import "time"

// Estimates are the rates that a plan's predictions rest on.
type Estimates struct {
	OriginBytesPerSecond   int64
	RegionBytesPerSecond   int64
	InstanceBytesPerSecond int64
	// LoadTime is how long an engine loads, checks and rejoins.
	LoadTime time.Duration
}

// DefaultEstimates suit links of 800, 20 and 400 megabits a second.
var DefaultEstimates = Estimates{
	OriginBytesPerSecond:   100_000_000,
	RegionBytesPerSecond:   2_500_000,
	InstanceBytesPerSecond: 50_000_000,
	LoadTime:               200 * time.Millisecond,
}

const instanceCopies = 2 // A copy in and about a copy out.

// transferTime returns how long weights take to reach every instance.
func (e Estimates) transferTime(bytes int64, fromOrigin, acrossRegions bool) time.Duration {
	if bytes == 0 {
		return 0
	}
	slowest := timeFor(bytes*instanceCopies, e.InstanceBytesPerSecond)
	if fromOrigin {
		slowest = max(slowest, timeFor(bytes, e.OriginBytesPerSecond))
	}
	if acrossRegions {
		slowest = max(slowest, timeFor(bytes, e.RegionBytesPerSecond))
	}
	return slowest
}

func timeFor(bytes, bytesPerSecond int64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(bytes) / float64(bytesPerSecond)
	return time.Duration(seconds * float64(time.Second))
}
