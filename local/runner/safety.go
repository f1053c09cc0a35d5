package runner

import (
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/report"
)

// fillSafety writes what the stand-ins counted.
func (f *fleetRun) fillSafety(into *report.Safety) {
	for _, n := range f.everyModel() {
		counts := n.engine.Counts()
		into.MixedWeights += int(counts.MixedWeights)
		into.CorruptChunksUsed += int(counts.CorruptChunks)
		into.WorkAfterLeave += int(counts.AfterLeave)
		into.CutByPlannedStop += int(counts.CutBySwap)
		if n.stopped {
			into.CutByPlannedStop += int(counts.Abandoned - n.abandoned)
		}
	}
	into.DoubleRuns = f.platform.ledger.DoubleRuns(load.PurchaseName)
}
