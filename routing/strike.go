package routing

import "time"

// Strike records that a request was in flight when an endpoint crashed.
type Strike struct {
	Fingerprint uint64
	// Crash identifies the crash; strikes with the same value count once.
	Crash string
	At    time.Time
	// Late says that the endpoint had begun to answer the request. Such a strike counts
	// half: requests that crash endpoints mostly do so as they begin to run.
	Late bool
	// Shared says that the strike is against one of several parts of a prompt that were
	// equally suspect. Such a strike counts half: the crash has one cause.
	Shared bool
	// Weak says that the part may have been there by chance, as PartHistory.Suspects says. Four such
	// strikes count as three others, if PartHistory.Chance is small.
	Weak bool
}
