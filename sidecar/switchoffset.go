package sidecar

import "time"

// The earliest and latest switch of a version, as fractions of the version bound:
// none begins before the version can have reached all instances, and the last one
// begins while the longest streams can still end and the engine load in time.
const (
	firstSwitchFraction     = 0.30
	lastSwitchFraction      = 0.80
	firstSupersededFraction = 0.48
)

// switchOffset returns how long after the declaration of a version an engine
// switches to it. position is its position among count engines, which are spread
// evenly from downloaded, when this engine's download completed, to the latest
// switch. A superseded version waits longer, as the newer one may arrive first.
func switchOffset(bound, downloaded time.Duration, position, count int, superseded bool) time.Duration {
	first := firstSwitchFraction
	if superseded {
		first = firstSupersededFraction
	}
	earliest := max(time.Duration(first*float64(bound)), downloaded)
	latest := time.Duration(lastSwitchFraction * float64(bound))
	if count < 2 || earliest >= latest {
		return earliest
	}
	return earliest + (latest-earliest)*time.Duration(position)/time.Duration(count-1)
}
