package fakes

// EngineCounts counts what an engine saw.
type EngineCounts struct {
	Begun  uint64 // Attempts that got a slot.
	Tokens uint64
	// AfterLeave counts attempts begun after the time of MarkLeaving.
	AfterLeave uint64
	// CutBySwap and CutByCrash count attempts that had begun and were ended
	// by a load or by a crash.
	CutBySwap  uint64
	CutByCrash uint64
	// Abandoned counts begun attempts whose caller went away without a
	// cancel.
	Abandoned uint64
	Cancelled uint64
	// MixedWeights counts loads of a manifest that was not staged whole.
	MixedWeights uint64
	// CorruptChunks counts chunks loaded that differ from the manifest.
	CorruptChunks uint64
	// StaleOrders counts accepted orders with an old fencing number.
	StaleOrders uint64
	Loads       uint64
	Crashes     uint64
	Foreign     uint64 // Events of another attempt that were sent.
	Exports     uint64
	Imports     uint64
}
