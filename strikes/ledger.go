package strikes

import (
	"slices"
	"time"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
)

// Ledger holds the strikes against requests and those against parts of prompts.
type Ledger struct {
	Requests, Parts *Register
}

// NewLedger returns an empty ledger.
func NewLedger(requests, parts routing.QuarantineConfig, now func() time.Time) *Ledger {
	l := &Ledger{Requests: NewRegister(requests, now), Parts: NewPartRegister(parts, now)}
	crashes := newCrashLog()
	l.Requests.crashes, l.Parts.crashes = crashes, crashes
	return l
}

// JudgeByChance makes weak strikes refuse a part only if chanceOf returns maxChance or less for their
// number: how likely it is that so many crashes met requests with the part by chance. It is called before the
// ledger is used; chanceOf must not call the ledger.
func (l *Ledger) JudgeByChance(chanceOf func(fingerprint uint64, crashes int) float64, maxChance float64) {
	l.Parts.chanceOf, l.Parts.maxChance = chanceOf, maxChance
}

// Merge records the strikes of another process. It returns those that were new, and the
// verdicts on the requests and parts that they put into quarantine.
func (l *Ledger) Merge(received loadreport.Strikes) (news loadreport.Strikes, quarantined []Verdict) {
	for _, strike := range received {
		if !strike.Absolved {
			l.Parts.crashes.add(CrashText(strike.Crash), l.Parts.now().Add(-strike.Age))
		}
	}
	for _, register := range []*Register{l.Parts, l.Requests} {
		n, q := register.Merge(received)
		news = append(news, n...)
		quarantined = append(quarantined, q...)
	}
	return news, quarantined
}

// Snapshot returns up to loadreport.MaxStrikes strikes for a process that may know none.
// Parts come first and take at most half, unless there are few requests.
func (l *Ledger) Snapshot() loadreport.Strikes {
	parts, requests := l.Parts.Snapshot(), l.Requests.Snapshot()
	partCount := min(len(parts), max(loadreport.MaxStrikes/2, loadreport.MaxStrikes-len(requests)))
	requestCount := min(len(requests), loadreport.MaxStrikes-partCount)
	return slices.Concat(parts[:partCount], requests[:requestCount])
}

// Quarantined returns the number of requests and parts in quarantine.
func (l *Ledger) Quarantined() int {
	return l.Requests.Quarantined() + l.Parts.Quarantined()
}
