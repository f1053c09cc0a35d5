package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/scenario"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// rankRecord collects the model calls of one rank.
type rankRecord struct {
	outcomes   report.Outcomes
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
}

// share counts calls and those of them that went well.
type share struct {
	offered int
	good    int
}

func (s *share) add(good bool) {
	s.offered++
	if good {
		s.good++
	}
}

// ratio returns the good part, or empty without a call.
func (s *share) ratio(empty float64) float64 {
	if s.offered == 0 {
		return empty
	}
	return float64(s.good) / float64(s.offered)
}

// recorder collects the ends of all calls. It is safe for concurrent use.
type recorder struct {
	oracle Oracle
	flood  scenario.Flood

	mu        sync.Mutex
	ranks     [core.RankCount]rankRecord
	purchases report.Outcomes
	small     share
	large     share
	// before and during count the calls of the ranks that do not flood,
	// good when answered within target.
	before share
	during share
	// notRun holds the calls whose every send was refused as not run.
	notRun      []Arrival
	refusals    map[Refusal]int
	wrong       int
	partial     int
	falseNotRun int
}

func newRecorder(config Config) *recorder {
	r := &recorder{oracle: config.Oracle, flood: config.Scenario.Flood, refusals: map[Refusal]int{}}
	for i := range r.ranks {
		r.ranks[i].firstToken = newHistogram()
		r.ranks[i].gaps = newHistogram()
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// record adds a call with the results of all its sends.
func (r *recorder) record(arrival *Arrival, due time.Time, sends []result) {
	best := bestOf(sends)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSafety(arrival, sends)
	switch arrival.Class {
	case ClassPurchase:
		count(&r.purchases, best.outcome)
	case ClassModel:
		r.recordModel(arrival, due, best)
	case ClassCrash:
		// No answer is right for a call that crashes its engine.
	}
}

// lost adds a call that the generator could not send.
func (r *recorder) lost(arrival *Arrival, due time.Time) {
	r.record(arrival, due, []result{{outcome: OutcomeFailed}})
}

// bestOf returns the best send of a call.
func bestOf(sends []result) result {
	best := sends[0]
	for _, sent := range sends[1:] {
		if sent.outcome < best.outcome {
			best = sent
		}
	}
	return best
}

func (r *recorder) recordSafety(arrival *Arrival, sends []result) {
	notRun, claimed := true, false
	for _, sent := range sends {
		r.recordRefusal(arrival, sent)
		notRun = notRun && sent.outcome == OutcomeNotRun
		claimed = claimed || sent.falseClaim
		if sent.wrong {
			r.wrong++
		}
		if sent.partial {
			r.partial++
		}
	}
	switch {
	case claimed:
		r.falseNotRun++
	case notRun:
		r.notRun = append(r.notRun, *arrival)
	}
}

func (r *recorder) recordModel(arrival *Arrival, due time.Time, best result) {
	rank := &r.ranks[arrival.Rank]
	count(&rank.outcomes, best.outcome)
	answered := best.outcome == OutcomeAnswered
	if answered {
		rank.recordLatency(due, best)
	}
	if arrival.From.Large {
		r.large.add(answered)
	} else {
		r.small.add(answered)
	}
	r.recordFlood(arrival, answered && best.firstToken.Sub(due) <= targets[arrival.Rank])
}

func (r *recorder) recordFlood(arrival *Arrival, inTarget bool) {
	switch {
	case !r.flood.On || arrival.Rank == r.flood.Rank:
	case arrival.At < r.flood.From:
		r.before.add(inTarget)
	case r.flood.During(arrival.At):
		r.during.add(inTarget)
	}
}

func (r *rankRecord) recordLatency(due time.Time, best result) {
	recordMicros(r.firstToken, best.firstToken.Sub(due))
	for _, gap := range best.gaps {
		recordMicros(r.gaps, gap)
	}
}

func recordMicros(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// The value is within the histogram's range.
	_ = histogram.RecordValue(micros)
}

func count(outcomes *report.Outcomes, outcome Outcome) {
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
