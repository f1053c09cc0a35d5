package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
)

// fill writes what the callers saw into the report.
func (r *recorder) fill(into *report.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rank := range core.Ranks {
		r.ranks[rank].fill(into.Ranks.Of(rank))
	}
	into.Purchases = r.purchases
	into.Flood.OthersKeptRatio = r.keptRatio()
	into.Organisations.SmallAnsweredRatio = r.small.ratio(1)
	into.Organisations.LargeAnsweredRatio = r.large.ratio(1)
	into.Safety.WrongAnswers = r.wrong
	into.Safety.PartialAnswers = r.partial
	into.Safety.FalseNotRun = r.falseNotRun + r.begunAfterAll()
}

// keptRatio compares the flood with the time before it. Arrivals of the other
// ranks are the same with and without the flood, so the offered calls of the
// stretch stand for the stretch without it, answered as before the flood.
func (r *recorder) keptRatio() float64 {
	before := r.before.ratio(1)
	if before == 0 {
		return 0
	}
	return r.during.ratio(before) / before
}

// begunAfterAll counts the calls that were refused as not run by every send
// and yet began.
func (r *recorder) begunAfterAll() int {
	begun := 0
	for i := range r.notRun {
		if r.began(&r.notRun[i]) {
			begun++
		}
	}
	return begun
}

func (r *recorder) began(arrival *Arrival) bool {
	if arrival.Class == ClassPurchase {
		return r.oracle.Runs(arrival.ID) > 0
	}
	return r.oracle.Begun(arrival.Prompt()) > 0
}

func (r *rankRecord) fill(into *report.Rank) {
	into.Outcomes = r.outcomes
	into.TTFTP50MS = quantileMS(r.firstToken, 50)
	into.TTFTP95MS = quantileMS(r.firstToken, 95)
	into.TTFTP99MS = quantileMS(r.firstToken, 99)
	into.InterTokenP95MS = quantileMS(r.gaps, 95)
}

// quantileMS returns a percentile in milliseconds, 0 without values.
func quantileMS(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	micros := time.Duration(histogram.ValueAtQuantile(percentile)) * time.Microsecond
	return float64(micros) / float64(time.Millisecond)
}
