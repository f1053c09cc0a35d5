package fakes

// PlainServiceCounts counts the work of a PlainService.
type PlainServiceCounts struct {
	Runs uint64
	// RunsAfterLeave counts runs started after the time of MarkLeaving.
	RunsAfterLeave    uint64
	Crashes           uint64
	DelayedResponses  uint64
	DroppedResponses  uint64
	AttemptMismatches uint64
	EndedByCrash      uint64
	Refused           uint64 // Calls refused before they ran.
}
