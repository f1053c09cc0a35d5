package fakes

// PlainCounts counts what a plain service saw.
type PlainCounts struct {
	Runs uint64
	// AfterLeave counts runs begun after the time of MarkLeaving.
	AfterLeave uint64
	Crashes    uint64
	Late       uint64
	Lost       uint64
	Foreign    uint64
	CutByCrash uint64
	Refused    uint64 // Calls answered before they ran.
}
