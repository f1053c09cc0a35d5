package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
)

// fill writes the results of all calls into the report.
func (r *recorder) fill(into *report.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rank := range core.Ranks {
		r.ranks[rank].fill(into.Ranks.Of(rank))
	}
	into.Purchases = r.purchases
	into.Flood.OthersKeptRatio = r.othersKeptRatio()
	into.Organisations.SmallAnsweredRatio = r.smallOrganisations.ratio(1)
	into.Organisations.LargeAnsweredRatio = r.largeOrganisations.ratio(1)
	into.Safety.WrongAnswers = r.wrongAnswers
	into.Safety.PartialAnswers = r.partialAnswers
	into.Safety.FalseNotRun = r.falseNotRuns + r.countLateFalseNotRun()
}

// othersKeptRatio returns the success ratio of the other ranks during the flood
// over that before it. Their arrivals are the same with and without the flood, so
// the ratio before the flood stands for that of the same period without a flood.
func (r *recorder) othersKeptRatio() float64 {
	ratioBefore := r.beforeFlood.ratio(1)
	if ratioBefore == 0 {
		return 0
	}
	return r.duringFlood.ratio(ratioBefore) / ratioBefore
}

// countLateFalseNotRun counts the calls that began although every send was
// refused as not run.
func (r *recorder) countLateFalseNotRun() int {
	count := 0
	for i := range r.refusedNotRun {
		if r.began(&r.refusedNotRun[i]) {
			count++
		}
	}
	return count
}

func (r *recorder) began(arrival *Arrival) bool {
	if arrival.Class == ClassPurchase {
		return r.oracle.Runs(arrival.ID) > 0
	}
	return r.oracle.Begun(arrival.Prompt()) > 0
}

func (r *rankStats) fill(into *report.Rank) {
	into.Outcomes = r.outcomes
	into.TTFTP50MS = percentileMS(r.ttft, 50)
	into.TTFTP95MS = percentileMS(r.ttft, 95)
	into.TTFTP99MS = percentileMS(r.ttft, 99)
	into.InterTokenP95MS = percentileMS(r.interToken, 95)
}

// percentileMS returns a percentile in milliseconds, or 0 without values.
func percentileMS(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	micros := time.Duration(histogram.ValueAtQuantile(percentile)) * time.Microsecond
	return float64(micros) / float64(time.Millisecond)
}
