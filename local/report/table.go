package report

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// tablePadding is the number of spaces between columns.
const tablePadding = 2

// WriteTable writes the report as an aligned table.
func (r *Report) WriteTable(w io.Writer) error {
	var cells bytes.Buffer
	r.writeWeights(&cells)
	r.writeCalls(&cells)
	r.writeSafetyAndControl(&cells)
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', tabwriter.AlignRight)
	if _, err := cells.WriteTo(t); err != nil {
		return eris.Wrap(err, "write the table")
	}
	return eris.Wrap(t.Flush(), "write the table")
}

func (r *Report) writeWeights(w *bytes.Buffer) {
	weights := r.Weights
	fmt.Fprintln(w, "weights\tdone\thalf s\tall s\tideal s\tratio\torigin copies\tregion link\tinstance link\t")
	fmt.Fprintf(w, "\t%d/%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n\n", weights.ReplicasDone, weights.Replicas, weights.TimeToHalfS, weights.TimeToAllS,
		weights.IdealS, weights.RatioToIdeal, weights.OriginCopies, weights.RegionLinkCopiesMax, weights.InstanceLinkCopiesMax)
}

func (r *Report) writeCalls(w *bytes.Buffer) {
	fmt.Fprintln(w, "calls\toffered\tanswered\tnot run\tunknown\tfailed\tttft p50 ms\tp95\tp99\tinter-token p95\t")
	for _, rank := range core.Ranks {
		stats := r.Ranks.Of(rank)
		writeOutcomes(w, rank.String(), stats.Outcomes)
		fmt.Fprintf(w, "%.0f\t%.0f\t%.0f\t%.1f\t\n", stats.TTFTP50MS, stats.TTFTP95MS, stats.TTFTP99MS, stats.InterTokenP95MS)
	}
	writeOutcomes(w, "purchases", r.Purchases)
	fmt.Fprint(w, "\t\t\t\t\n\n")
}

func writeOutcomes(w *bytes.Buffer, name string, outcomes Outcomes) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t", name, outcomes.Offered, outcomes.Answered, outcomes.RefusedNotRun, outcomes.RefusedUnknown, outcomes.Failed)
}

func (r *Report) writeSafetyAndControl(w *bytes.Buffer) {
	safety, control, organisations := r.Safety, r.Control, r.Organisations
	fmt.Fprintln(w, "safety\tmixed\tcorrupt used\twrong\tpartial\tfalse not-run\tdouble\tafter leave\tcut by stop\treverts\tspread s\t")
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t\n\n", safety.MixedWeights, safety.CorruptChunksUsed, safety.WrongAnswers, safety.PartialAnswers,
		safety.FalseNotRun, safety.DoubleRuns, safety.WorkAfterLeave, safety.CutByPlannedStop, safety.ConfigReverts, safety.ConfigSpreadMaxS)
	fmt.Fprintln(w, "others\tkept in flood\tsmall answered\tlarge answered\tagent B/s\tentry B/s\tstore calls/s\t")
	fmt.Fprintf(w, "\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t\n", r.Flood.OthersKeptRatio, organisations.SmallAnsweredRatio, organisations.LargeAnsweredRatio,
		control.AgentBytesPerSMax, control.EntryBytesPerSMax, control.StoreCallsPerS)
}
