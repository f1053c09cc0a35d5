package operator

import (
	"fmt"
	"io"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// WritePlan prints a plan for people.
func WritePlan(w io.Writer, p *intent.Plan) error {
	t := newTable(w)
	t.row("plan", p.ID)
	t.row("intent", describeIntent(p.Intent))
	t.row("rests on", fmt.Sprintf("generation %d", p.Generation))
	t.row("makes", fmt.Sprintf("generation %d", p.Next.Generation))
	t.row("from the origin", megabytes(p.OriginBytes))
	t.row("between regions", megabytes(p.RegionLinkBytes))
	t.row("estimated time", milliseconds(p.EstimatedMS))
	t.row("capacity now", capacities(p.CapacityNow))
	for _, warning := range p.Warnings {
		t.row("warning", warning)
	}
	t.line("")
	t.writeWaves(p.Waves)
	return t.flush()
}

func (t *table) writeWaves(waves []intent.Wave) {
	if len(waves) == 0 {
		t.line("no instance changes")
		return
	}
	t.row("WAVE", "STEP", "INSTANCES", "TIME", "CAPACITY LEFT", "NAMES")
	for i, wave := range waves {
		t.row(
			fmt.Sprint(i+1),
			describeSteps(wave.Steps),
			fmt.Sprint(len(wave.Instances)),
			milliseconds(wave.EstimatedMS),
			capacities(wave.CapacityLeft),
			names(wave.Instances),
		)
	}
}

// WriteChanges prints what a plan changes for people.
func WriteChanges(w io.Writer, c Changes) error {
	t := newTable(w)
	if len(c.Changes) == 0 {
		t.line("no change")
	}
	for _, change := range c.Changes {
		sign := "-"
		if change.Added {
			sign = "+"
		}
		t.line(fmt.Sprintf("%s %s %s", sign, change.Section, change.Item))
	}
	return t.flush()
}

// WriteConfirmed prints a confirmation for people.
func WriteConfirmed(w io.Writer, c Confirmed) error {
	t := newTable(w)
	t.line(fmt.Sprintf("plan %s made generation %d", c.Plan, c.Generation))
	return t.flush()
}

// WriteStatus prints a status for people.
func WriteStatus(w io.Writer, s Status) error {
	t := newTable(w)
	t.row("generation", fmt.Sprint(s.Generation))
	t.row("plan", orNone(s.Plan))
	t.row("entry", string(s.Entry))
	t.row("store reachable", yesNo(s.StoreReachable))
	t.row("executor", yesNo(s.Executor))
	t.line("")
	t.row("PLACEMENT", "WHERE", "ASSIGNED", "SERVING", "COMPLETE", "SWAPPING")
	for _, d := range s.Deployments {
		t.row(
			describeModel(d.Placement.Model),
			describePlace(d.Placement.Region, d.Placement.FailureDomain),
			fmt.Sprint(d.Assigned), fmt.Sprint(d.Serving), fmt.Sprint(d.Complete), fmt.Sprint(d.Swapping),
		)
	}
	t.line("")
	t.row("INSTANCE", "WHERE", "STATE", "SERVING", "FETCHING", "CHUNKS", "RUNNING")
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
	t.row(
		string(a.Instance.ID),
		describePlace(a.Instance.Location.Region, a.Instance.Location.FailureDomain),
		describeState(a),
		serving,
		describeModel(a.Fetching),
		fmt.Sprintf("%d/%d", a.ChunksHave, a.ChunksTotal),
		fmt.Sprintf("%d/%d", a.Running, a.Slots),
	)
}
