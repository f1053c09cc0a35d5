package keeper

import "time"

// The turns of engines that change their version, as parts of the bound: the
// first ones when a copy can have arrived everywhere, the last ones while the
// longest streams can still end and the engine load before the bound is over.
const (
	turns         = 3
	firstTurn     = 0.28
	lastTurn      = 0.62
	replacedFirst = 0.48
)

// turnAt returns how long after the declaration of a version an engine changes
// to it: place is its place among count engines. A version that was replaced
// by a newer one meanwhile waits longer, as the newer one may come first.
func turnAt(bound time.Duration, place, count int, replaced bool) time.Duration {
	first := firstTurn
	if replaced {
		first = replacedFirst
	}
	turn := 0.0
	if count > 1 {
		turn = float64(place%turns) / (turns - 1)
	}
	return time.Duration((first + turn*(lastTurn-first)) * float64(bound))
}
