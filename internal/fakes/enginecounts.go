package fakes

// EngineCounts counts the work of an Engine.
type EngineCounts struct {
	Started uint64 // Attempts that got a slot.
	Tokens  uint64
	// StartedAfterLeave counts attempts started after the time of
	// MarkLeaving.
	StartedAfterLeave uint64
	// EndedByLoad and EndedByCrash count started attempts that were ended by
	// a load or by a crash.
	EndedByLoad  uint64
	EndedByCrash uint64
	// Abandoned counts started attempts whose caller disconnected without a
	// cancel.
	Abandoned uint64
	Cancelled uint64
	// MixedWeights counts loads of a manifest with missing or corrupt chunks.
	MixedWeights uint64
	// CorruptChunks counts loaded chunks that differ from the manifest.
	CorruptChunks uint64
	// StaleOrders counts accepted orders with a stale fencing number.
	StaleOrders       uint64
	Loads             uint64
	Crashes           uint64
	AttemptMismatches uint64 // Sent events that carry another attempt's ID.
	Exports           uint64
	Imports           uint64
}
