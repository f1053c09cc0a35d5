package load

import (
	"cmp"
	"fmt"
	"slices"
)

// Refusal identifies a kind of refused send.
type Refusal struct {
	Class   Class
	Outcome Outcome
	Code    string
}

// String returns a readable form, e.g. "purchase overload not-run".
func (r Refusal) String() string {
	return fmt.Sprintf("%s %s %s", classNames[r.Class], r.Code, outcomeNames[r.Outcome])
}

var (
	classNames   = [...]string{"model", "purchase", "crash"}
	outcomeNames = [...]string{"answered", "unknown", "failed", "not-run"}
)

// RefusalCount is the number of sends with one kind of refusal.
type RefusalCount struct {
	Refusal
	Sends int
}

// Refusals returns the refused sends by kind, most frequent first.
func (g *Generator) Refusals() []RefusalCount {
	return g.recorder.refusalCounts()
}

func (r *recorder) recordRefusal(arrival *Arrival, result sendResult) {
	if result.code != "" {
		r.refusals[Refusal{Class: arrival.Class, Outcome: result.outcome, Code: result.code}]++
	}
}

func (r *recorder) refusalCounts() []RefusalCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]RefusalCount, 0, len(r.refusals))
	for refusal, sends := range r.refusals {
		counts = append(counts, RefusalCount{Refusal: refusal, Sends: sends})
	}
	slices.SortFunc(counts, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Sends, a.Sends), cmp.Compare(a.String(), b.String()))
	})
	return counts
}
