package runner

import (
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/report"
)

// printCutStreams prints the engines at which weight loads or planned stops cut
// streams.
func (f *runningFleet) printCutStreams(a *operatorActions) {
	for _, n := range f.allModelNodes() {
		counts := n.engine.Counts()
		abandoned := uint64(0)
		if n.plannedStop {
			abandoned = counts.Abandoned - n.abandonedBeforeStop
		}
		if counts.EndedByLoad+abandoned > 0 {
			a.printProgress("%s: %d streams cut by a weight load, %d abandoned in a planned stop", n.instance.ID, counts.EndedByLoad, abandoned)
		}
	}
}

// fillSafety writes the counts of the fake services into the report.
func (f *runningFleet) fillSafety(into *report.Safety) {
	for _, n := range f.allModelNodes() {
		counts := n.engine.Counts()
		into.MixedWeights += int(counts.MixedWeights)
		into.CorruptChunksUsed += int(counts.CorruptChunks)
		into.WorkAfterLeave += int(counts.StartedAfterLeave)
		into.CutByPlannedStop += int(counts.EndedByLoad)
		if n.plannedStop {
			into.CutByPlannedStop += int(counts.Abandoned - n.abandonedBeforeStop)
		}
	}
	into.DoubleRuns = f.platform.runCounter.DoubleRuns(load.PurchaseName)
}
