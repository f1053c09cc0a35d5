package sidecar

import "time"

// The earliest and latest switch of a version, as fractions of the version bound: no
// switch starts before the version can have reached all instances, and the last one
// leaves enough time for the longest streams to end and the engine to load.
// firstSupersededFraction applies to a version that a newer one has superseded.
const (
	firstSwitchFraction     = 0.30
	lastSwitchFraction      = 0.80
	firstSupersededFraction = 0.48
)

// switchOffset returns how long after the declaration of a version an engine
// switches to it. The switches of count engines are spread evenly, in the order of
// position, from downloadedAfter, when this engine's download completed, to the
// latest switch. A superseded version waits longer, as the newer one may arrive first.
func switchOffset(bound, downloadedAfter time.Duration, position, count int, superseded bool) time.Duration {
	first := firstSwitchFraction
	if superseded {
		first = firstSupersededFraction
	}
	earliest := max(time.Duration(first*float64(bound)), downloadedAfter)
	latest := time.Duration(lastSwitchFraction * float64(bound))
	if count < 2 || earliest >= latest {
		return earliest
	}
	return earliest + (latest-earliest)*time.Duration(position)/time.Duration(count-1)
}
