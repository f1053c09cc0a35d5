package report

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// tablePadding is the space between columns in characters.
const tablePadding = 2

// WriteTable prints the report for readers.
func (r *Report) WriteTable(w io.Writer) error {
	var cells bytes.Buffer
	r.writeWeights(&cells)
	r.writeCalls(&cells)
	r.writeRest(&cells)
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', tabwriter.AlignRight)
	if _, err := cells.WriteTo(t); err != nil {
		return eris.Wrap(err, "write the table")
	}
	return eris.Wrap(t.Flush(), "write the table")
}

func (r *Report) writeWeights(w *bytes.Buffer) {
	x := r.Weights
	fmt.Fprintln(w, "weights\tdone\thalf s\tall s\tideal s\tratio\torigin copies\tregion link\tinstance link\t")
	fmt.Fprintf(w, "\t%d/%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n\n", x.ReplicasDone, x.Replicas, x.TimeToHalfS, x.TimeToAllS,
		x.IdealS, x.RatioToIdeal, x.OriginCopies, x.RegionLinkCopiesMax, x.InstanceLinkCopiesMax)
}

func (r *Report) writeCalls(w *bytes.Buffer) {
	fmt.Fprintln(w, "calls\toffered\tanswered\tnot run\tunknown\tfailed\tttft p50 ms\tp95\tp99\tinter-token p95\t")
	for _, rank := range core.Ranks {
		x := r.Ranks.Of(rank)
		writeOutcomes(w, rank.String(), x.Outcomes)
		fmt.Fprintf(w, "%.0f\t%.0f\t%.0f\t%.1f\t\n", x.TTFTP50MS, x.TTFTP95MS, x.TTFTP99MS, x.InterTokenP95MS)
	}
	writeOutcomes(w, "purchases", r.Purchases)
	fmt.Fprint(w, "\t\t\t\t\n\n")
}

func writeOutcomes(w *bytes.Buffer, name string, x Outcomes) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t", name, x.Offered, x.Answered, x.RefusedNotRun, x.RefusedUnknown, x.Failed)
}

func (r *Report) writeRest(w *bytes.Buffer) {
	s, c, o := r.Safety, r.Control, r.Organisations
	fmt.Fprintln(w, "safety\tmixed\tcorrupt used\twrong\tpartial\tfalse not-run\tdouble\tafter leave\tcut by stop\treverts\tspread s\t")
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t\n\n", s.MixedWeights, s.CorruptChunksUsed, s.WrongAnswers, s.PartialAnswers,
		s.FalseNotRun, s.DoubleRuns, s.WorkAfterLeave, s.CutByPlannedStop, s.ConfigReverts, s.ConfigSpreadMaxS)
	fmt.Fprintln(w, "others\tkept in flood\tsmall answered\tlarge answered\tagent B/s\tentry B/s\tstore calls/s\t")
	fmt.Fprintf(w, "\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t\n", r.Flood.OthersKeptRatio, o.SmallAnsweredRatio, o.LargeAnsweredRatio,
		c.AgentBytesPerSMax, c.EntryBytesPerSMax, c.StoreCallsPerS)
}
