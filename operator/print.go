package operator

import (
	"fmt"
	"io"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// WritePlan writes a plan as a table.
func WritePlan(w io.Writer, p *intent.Plan) error {
	t := newTable(w)
	t.writeRow("plan", p.ID)
	t.writeRow("intent", describeIntent(p.Intent))
	t.writeRow("rests on", fmt.Sprintf("generation %d", p.Generation))
	t.writeRow("makes", fmt.Sprintf("generation %d", p.Next.Generation))
	t.writeRow("from the origin", formatMegabytes(p.OriginBytes))
	t.writeRow("between regions", formatMegabytes(p.RegionLinkBytes))
	t.writeRow("estimated time", formatMilliseconds(p.EstimatedMS))
	t.writeRow("capacity now", formatCapacities(p.CapacityNow))
	for _, warning := range p.Warnings {
		t.writeRow("warning", warning)
	}
	t.writeLine("")
	t.writeWaves(p.Waves)
	return t.flush()
}

func (t *table) writeWaves(waves []intent.Wave) {
	if len(waves) == 0 {
		t.writeLine("no instance changes")
		return
	}
	t.writeRow("WAVE", "STEP", "INSTANCES", "TIME", "CAPACITY LEFT", "NAMES")
	for i, wave := range waves {
		t.writeRow(
			fmt.Sprint(i+1),
			describeSteps(wave.Steps),
			fmt.Sprint(len(wave.Instances)),
			formatMilliseconds(wave.EstimatedMS),
			formatCapacities(wave.CapacityLeft),
			formatInstances(wave.Instances),
		)
	}
}

// WriteDiff writes the configuration changes of a plan as text.
func WriteDiff(w io.Writer, diff PlanDiff) error {
	t := newTable(w)
	if len(diff.Changes) == 0 {
		t.writeLine("no change")
	}
	for _, change := range diff.Changes {
		sign := "-"
		if change.Added {
			sign = "+"
		}
		t.writeLine(fmt.Sprintf("%s %s %s", sign, change.Section, change.Item))
	}
	return t.flush()
}

// WriteConfirmation writes a confirmation as text.
func WriteConfirmation(w io.Writer, confirmation Confirmation) error {
	t := newTable(w)
	t.writeLine(fmt.Sprintf("plan %s made generation %d", confirmation.Plan, confirmation.Generation))
	return t.flush()
}

// WriteStatus writes a status as tables.
func WriteStatus(w io.Writer, s Status) error {
	t := newTable(w)
	t.writeRow("generation", fmt.Sprint(s.Generation))
	t.writeRow("plan", orNone(s.Plan))
	t.writeRow("entry", string(s.Entry))
	t.writeRow("store reachable", yesNo(s.StoreReachable))
	t.writeRow("executor", yesNo(s.Executor))
	t.writeLine("")
	t.writeRow("PLACEMENT", "WHERE", "ASSIGNED", "SERVING", "COMPLETE", "SWAPPING")
	for _, d := range s.Deployments {
		t.writeRow(
			describeModel(d.Placement.Model),
			describeLocation(d.Placement.Region, d.Placement.FailureDomain),
			fmt.Sprint(d.Assigned), fmt.Sprint(d.Serving), fmt.Sprint(d.Complete), fmt.Sprint(d.Swapping),
		)
	}
	t.writeLine("")
	t.writeRow("INSTANCE", "WHERE", "STATE", "SERVING", "FETCHING", "CHUNKS", "RUNNING")
	for _, a := range s.Agents {
		t.writeAgent(a)
	}
	return t.flush()
}

func (t *table) writeAgent(a intent.AgentView) {
	serving := describeModel(a.Serving)
	if a.Instance.Role == core.RolePlain {
		serving = a.Instance.Service
	}
	t.writeRow(
		string(a.Instance.ID),
		describeLocation(a.Instance.Location.Region, a.Instance.Location.FailureDomain),
		describeState(a),
		serving,
		describeModel(a.Fetching),
		fmt.Sprintf("%d/%d", a.ChunksHave, a.ChunksTotal),
		fmt.Sprintf("%d/%d", a.Running, a.Slots),
	)
}
