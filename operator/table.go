package operator

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

const (
	tablePadding     = 2
	shownInstances   = 6
	bytesPerMegabyte = 1_000_000
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

func describeState(a intent.AgentView) string {
	switch {
	case a.Leaving:
		return "leaving"
	case !a.Healthy:
		return "unhealthy"
	case a.Swapping:
		return "swapping"
	case a.Draining:
		return "drained"
	}
	return "in service"
}

func describeIntent(in intent.Intent) string {
	switch in.Kind() {
	case intent.KindPlace:
		return describePlacement(in.Place)
	case intent.KindRank:
		return describeRank(in.Rank)
	case intent.KindStop:
		return fmt.Sprintf("stop %s, %s", in.Stop.Selector, describeGrace(in.Stop.StreamGraceMS, in.Stop.Move))
	case intent.KindDrain:
		return fmt.Sprintf("drain %s, %s", in.Drain.Selector, describeGrace(in.Drain.StreamGraceMS, in.Drain.Move))
	case intent.KindResume:
		return fmt.Sprintf("resume %s", in.Resume.Selector)
	}
	return "none"
}

func describePlacement(p *intent.Place) string {
	replicas := "every endpoint"
	if p.Replicas > 0 {
		replicas = fmt.Sprintf("%d replicas", p.Replicas)
	}
	parts := []string{fmt.Sprintf("place %s at %s", describeModel(p.Model), replicas)}
	if p.Region != "" || p.FailureDomain != "" {
		parts = append(parts, "in "+describePlace(p.Region, p.FailureDomain))
	}
	if len(p.Adapters) > 0 {
		parts = append(parts, "with adapters "+strings.Join(p.Adapters, ","))
	}
	if p.EngineRole != "" {
		parts = append(parts, "in role "+p.EngineRole)
	}
	return strings.Join(parts, " ")
}

func describeRank(r *intent.Rank) string {
	var parts []string
	for _, rule := range r.Rules {
		parts = append(parts, describeRule(rule))
	}
	for _, p := range r.Policies {
		parts = append(parts, fmt.Sprintf("%s keeps %.0f%%, patience %d ms", p.Rank, p.GuaranteedShare*100, p.PatienceMS))
	}
	return "rank " + strings.Join(parts, "; ")
}

func describeRule(rule fleet.RankRule) string {
	organisation, kind := "every organisation", "every kind"
	if rule.Organisation != "" {
		organisation = string(rule.Organisation)
	}
	if rule.Kind != "" {
		kind = rule.Kind
	}
	return fmt.Sprintf("%s, %s is %s", organisation, kind, rule.Rank)
}

func describeGrace(graceMS int64, move bool) string {
	if move {
		return fmt.Sprintf("streams move after %s", milliseconds(graceMS))
	}
	return fmt.Sprintf("streams may run %s", milliseconds(graceMS))
}

func describeSteps(steps []intent.Step) string {
	var parts []string
	for _, s := range steps {
		text := string(s.Kind)
		if !s.Model.IsZero() {
			text += " " + describeModel(s.Model)
		}
		if len(steps) > 1 {
			text += fmt.Sprintf(" at %d", s.Count)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

func describeModel(m core.ModelRef) string {
	if m.IsZero() {
		return "none"
	}
	return m.Model + ":" + m.Version
}

func describePlace(region, domain string) string {
	switch {
	case region == "" && domain == "":
		return "anywhere"
	case domain == "":
		return region
	case region == "":
		return domain
	}
	return region + "/" + domain
}

func capacities(ranks []intent.RankCapacity) string {
	if len(ranks) == 0 {
		return "none"
	}
	parts := []string{fmt.Sprintf("%d slots", ranks[0].Slots)}
	for _, r := range ranks {
		parts = append(parts, fmt.Sprintf("%s %d", r.Rank, r.Guaranteed))
	}
	return strings.Join(parts, ", ")
}

func names(ids []core.InstanceID) string {
	var parts []string
	for _, id := range ids {
		parts = append(parts, string(id))
	}
	sort.Strings(parts)
	if len(parts) > shownInstances {
		parts = append(parts[:shownInstances], fmt.Sprintf("and %d more", len(ids)-shownInstances))
	}
	return strings.Join(parts, " ")
}

func megabytes(n int64) string {
	return fmt.Sprintf("%.1f MB", float64(n)/bytesPerMegabyte)
}

func milliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// table writes aligned columns and keeps the first error.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)}
}

func (t *table) row(cells ...string) {
	t.line(strings.Join(cells, "\t"))
}

func (t *table) line(text string) {
	if _, err := fmt.Fprintln(t.w, text); err != nil && t.err == nil {
		t.err = err
	}
}

func (t *table) flush() error {
	if err := t.w.Flush(); err != nil && t.err == nil {
		t.err = err
	}
	return t.err
}
