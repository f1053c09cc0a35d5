package runner

import (
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/report"
)

// sayCuts names the engines at which planned work cut streams.
func (f *fleetRun) sayCuts(a *actions) {
	for _, n := range f.everyModel() {
		counts := n.engine.Counts()
		abandoned := uint64(0)
		if n.stopped {
			abandoned = counts.Abandoned - n.abandoned
		}
		if counts.CutBySwap+abandoned > 0 {
			a.say("%s: %d streams cut by a load, %d abandoned in a planned stop", n.instance.ID, counts.CutBySwap, abandoned)
		}
	}
}

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
