package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/scenario"
)

// Range, in microseconds, and precision of the latency histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// rankStats holds the outcomes and latencies of the model calls of one rank.
type rankStats struct {
	outcomes   report.Outcomes
	ttft       *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

// successCounter counts calls and the successful ones among them.
type successCounter struct {
	offered   int
	succeeded int
}

func (s *successCounter) add(success bool) {
	s.offered++
	if success {
		s.succeeded++
	}
}

// ratio returns the fraction that succeeded, or fallback without a call.
func (s *successCounter) ratio(fallback float64) float64 {
	if s.offered == 0 {
		return fallback
	}
	return float64(s.succeeded) / float64(s.offered)
}

// recorder collects the results of all calls. It is safe for concurrent use.
type recorder struct {
	oracle Oracle
	flood  scenario.Flood

	mu                 sync.Mutex
	ranks              [core.RankCount]rankStats
	purchases          report.Outcomes
	smallOrganisations successCounter
	largeOrganisations successCounter
	// beforeFlood and duringFlood count the calls of the ranks that do not
	// flood; a call succeeds if it is answered within target.
	beforeFlood successCounter
	duringFlood successCounter
	// refusedNotRun holds the calls of which every send was refused as not run.
	refusedNotRun  []Arrival
	refusals       map[Refusal]int
	wrongAnswers   int
	partialAnswers int
	falseNotRuns   int
}

func newRecorder(config Config) *recorder {
	r := &recorder{oracle: config.Oracle, flood: config.Scenario.Flood, refusals: map[Refusal]int{}}
	for i := range r.ranks {
		r.ranks[i].ttft = newHistogram()
		r.ranks[i].interToken = newHistogram()
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
}

// record adds the results of all sends of a call.
func (r *recorder) record(arrival *Arrival, due time.Time, results []sendResult) {
	best := bestOf(results)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSafety(arrival, results)
	switch arrival.Class {
	case ClassPurchase:
		countOutcome(&r.purchases, best.outcome)
	case ClassModel:
		r.recordModel(arrival, due, best)
	case ClassCrash:
		// A call that crashes its engine has no expected response.
	}
}

// recordUnsent records a call that the generator could not send.
func (r *recorder) recordUnsent(arrival *Arrival, due time.Time) {
	r.record(arrival, due, []sendResult{{outcome: OutcomeFailed}})
}

// bestOf returns the best send of a call.
func bestOf(results []sendResult) sendResult {
	best := results[0]
	for _, result := range results[1:] {
		if result.outcome < best.outcome {
			best = result
		}
	}
	return best
}

func (r *recorder) recordSafety(arrival *Arrival, results []sendResult) {
	allNotRun, falseNotRun := true, false
	for _, result := range results {
		r.recordRefusal(arrival, result)
		allNotRun = allNotRun && result.outcome == OutcomeNotRun
		falseNotRun = falseNotRun || result.falseNotRun
		if result.wrong {
			r.wrongAnswers++
		}
		if result.partial {
			r.partialAnswers++
		}
	}
	switch {
	case falseNotRun:
		r.falseNotRuns++
	case allNotRun:
		r.refusedNotRun = append(r.refusedNotRun, *arrival)
	}
}

func (r *recorder) recordModel(arrival *Arrival, due time.Time, best sendResult) {
	rank := &r.ranks[arrival.Rank]
	countOutcome(&rank.outcomes, best.outcome)
	answered := best.outcome == OutcomeAnswered
	if answered {
		rank.recordLatency(due, best)
	}
	if arrival.Organisation.Large {
		r.largeOrganisations.add(answered)
	} else {
		r.smallOrganisations.add(answered)
	}
	r.recordFlood(arrival, answered && best.firstTokenAt.Sub(due) <= ttftTargets[arrival.Rank])
}

func (r *recorder) recordFlood(arrival *Arrival, withinTarget bool) {
	switch {
	case !r.flood.Enabled || arrival.Rank == r.flood.Rank:
	case arrival.At < r.flood.From:
		r.beforeFlood.add(withinTarget)
	case r.flood.ActiveAt(arrival.At):
		r.duringFlood.add(withinTarget)
	}
}

func (r *rankStats) recordLatency(due time.Time, best sendResult) {
	recordMicros(r.ttft, best.firstTokenAt.Sub(due))
	for _, gap := range best.interTokenGaps {
		recordMicros(r.interToken, gap)
	}
}

func recordMicros(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// Cannot fail: the value is clamped to the histogram's range.
	_ = histogram.RecordValue(micros)
}

func countOutcome(outcomes *report.Outcomes, outcome Outcome) {
	outcomes.Offered++
	switch outcome {
	case OutcomeAnswered:
		outcomes.Answered++
	case OutcomeNotRun:
		outcomes.RefusedNotRun++
	case OutcomeUnknown:
		outcomes.RefusedUnknown++
	case OutcomeFailed:
		outcomes.Failed++
	}
}
