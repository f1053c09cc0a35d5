package keeper

import "time"

// The turns of engines that change their version, as parts of the bound: none
// begins before a copy can have arrived everywhere, and the last one begins
// while the longest streams can still end and the engine load in time.
const (
	firstTurn     = 0.30
	lastTurn      = 0.80
	replacedFirst = 0.48
)

// turnAt returns how long after the declaration of a version an engine changes
// to it. place is its place among count engines, which are spread evenly over
// the time from whole, when the engine's own copy was whole, to the last turn.
// A version that was replaced by a newer one meanwhile waits longer, as the
// newer one may come first.
func turnAt(bound, whole time.Duration, place, count int, replaced bool) time.Duration {
	first := firstTurn
	if replaced {
		first = replacedFirst
	}
	from := max(time.Duration(first*float64(bound)), whole)
	last := time.Duration(lastTurn * float64(bound))
	if count < 2 || from >= last {
		return from
	}
	return from + (last-from)*time.Duration(place)/time.Duration(count-1)
}
