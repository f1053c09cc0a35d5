package strikes

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
)

// Register holds the strikes that one process knows, against requests or against parts of
// prompts. It is safe for concurrent use.
type Register struct {
	now func() time.Time
	// parts says that the strikes are against parts of prompts.
	parts bool
	// count is the number of fingerprints with strikes, so that requests are not
	// serialised by mu while there are none.
	count atomic.Int64

	// crashes holds all crashes that are known, nil for none. Its lock is taken while mu is held.
	crashes *crashLog
	// chanceOf returns how likely it is that a number of crashes met requests with a part by chance, nil
	// if weak strikes are not judged by it. It is called while mu is held.
	chanceOf func(fingerprint uint64, crashes int) float64
	// maxChance is the chance above which weak strikes refuse nothing.
	maxChance float64

	mu         sync.Mutex
	quarantine *routing.Quarantine
	// refusedByOdds holds the parts that weak strikes refused at the last call of Confirm.
	refusedByOdds map[uint64]bool
}

// Verdict is what the strikes of a request or part amount to.
type Verdict struct {
	Fingerprint uint64
	// IsPart says that the verdict is on a part of prompts.
	IsPart bool
	// Crashes identify the crashes that speak against the request.
	Crashes []string
	// Refused says that the request is quarantined, for Remaining.
	Refused   bool
	Remaining time.Duration
	// OnTrial says that its quarantine has ended without a proof of either.
	OnTrial bool
}

// NewRegister returns an empty register of strikes against requests.
func NewRegister(config routing.QuarantineConfig, now func() time.Time) *Register {
	return &Register{now: now, quarantine: routing.NewQuarantine(config)}
}

// NewPartRegister returns an empty register of strikes against parts of prompts.
func NewPartRegister(config routing.QuarantineConfig, now func() time.Time) *Register {
	r := NewRegister(config, now)
	r.parts = true
	return r
}

// CrashOf returns the identifier of the crash of an endpoint. An endpoint may start again
// under its ID, so that its start time, in Unix milliseconds, is a part of it.
func CrashOf(endpointID string, startedUnixMS int64) uint64 {
	return directory.IncarnationHash(endpointID, startedUnixMS)
}

// CrashText returns the identifier of a crash for logs.
func CrashText(crash uint64) string {
	return strconv.FormatUint(crash, 16)
}

// Verdict returns what the strikes of a request amount to.
func (r *Register) Verdict(fingerprint uint64) Verdict {
	if r.count.Load() == 0 {
		return Verdict{Fingerprint: fingerprint, IsPart: r.parts}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict(r.now(), fingerprint)
}

func (r *Register) verdict(now time.Time, fingerprint uint64) Verdict {
	v := Verdict{Fingerprint: fingerprint, IsPart: r.parts}
	for _, s := range r.quarantine.Strikes(now, fingerprint) {
		v.Crashes = append(v.Crashes, s.Crash)
	}
	v.Remaining, v.Refused = r.quarantine.Refused(now, fingerprint)
	v.OnTrial = r.quarantine.OnTrial(now, fingerprint)
	if r.quarantine.RestsOnWeakStrikes(now, fingerprint) && (!r.isInMostCrashes(now, fingerprint) || r.isByChance(now, fingerprint)) {
		v.Refused, v.OnTrial, v.Remaining = false, false, 0
	}
	return v
}

// isByChance reports whether the crashes may have met requests with a part by chance. Crashes that come
// together may have one cause, and count half.
func (r *Register) isByChance(now time.Time, fingerprint uint64) bool {
	if r.chanceOf == nil {
		return false
	}
	strikes := r.quarantine.Strikes(now, fingerprint)
	crashes := len(strikes)
	if first, last := span(strikes); last.Sub(first) < crashSpan {
		crashes = (crashes + 1) / 2
	}
	return r.chanceOf(fingerprint, crashes) > r.maxChance
}

// crashSpan is how far around the strikes of a part other crashes count: endpoints that crash
// together for another reason do so within it.
const crashSpan = time.Second

// isInMostCrashes reports whether a part was struck at half or more of the crashes around its
// strikes. Weak strikes prove nothing when endpoints crash for another reason.
func (r *Register) isInMostCrashes(now time.Time, fingerprint uint64) bool {
	strikes := r.quarantine.Strikes(now, fingerprint)
	if r.crashes == nil || len(strikes) == 0 {
		return true
	}
	first, last := span(strikes)
	return 2*len(strikes) >= r.crashes.count(first.Add(-crashSpan), last.Add(crashSpan))
}

// span returns the times of the first and the last of some strikes.
func span(strikes []routing.Strike) (first, last time.Time) {
	first, last = strikes[0].At, strikes[0].At
	for _, s := range strikes {
		if s.At.Before(first) {
			first = s.At
		}
		if s.At.After(last) {
			last = s.At
		}
	}
	return first, last
}

// Confirm makes the weak strikes against parts that they refuse count as others, and returns them to pass
// on: another process may have had too few answers to judge by the odds. A part must be refused at two calls
// in a row, as crashes that come together are told one after the other.
func (r *Register) Confirm() loadreport.Strikes {
	if r.count.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	refused := make(map[uint64]bool)
	var confirmed loadreport.Strikes
	for _, fingerprint := range r.quarantine.WeakFingerprints(now) {
		if !r.verdict(now, fingerprint).Refused {
			continue
		}
		refused[fingerprint] = true
		if !r.refusedByOdds[fingerprint] {
			continue
		}
		for _, s := range r.quarantine.Confirm(fingerprint) {
			confirmed = append(confirmed, r.outgoing(now, s))
		}
	}
	r.refusedByOdds = refused
	return confirmed
}

// Strike records that a request was running at a crash; late says that its answer had
// begun. It returns the strike to pass on if it was new, and the verdict.
func (r *Register) Strike(fingerprint, crash uint64, late bool) (loadreport.Strikes, Verdict) {
	return r.record(routing.Strike{Fingerprint: fingerprint, Crash: CrashText(crash), Late: late})
}

// StrikePart is Strike for a part of prompts; shared says that other parts of the prompt were
// equally suspect, weak that the part may have been there by chance.
func (r *Register) StrikePart(fingerprint, crash uint64, shared, weak bool) (loadreport.Strikes, Verdict) {
	return r.record(routing.Strike{Fingerprint: fingerprint, Crash: CrashText(crash), Shared: shared, Weak: weak})
}

// record records a strike that is seen now.
func (r *Register) record(s routing.Strike) (loadreport.Strikes, Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateCount()
	now := r.now()
	s.At = now
	r.crashes.add(s.Crash, now)
	isNew := r.quarantine.RecordStrike(now, s)
	verdict := r.verdict(now, s.Fingerprint)
	if !isNew {
		return nil, verdict
	}
	return loadreport.Strikes{r.outgoing(now, s)}, verdict
}

// Absolve clears the strikes of a request that ran to its end, and returns them to pass
// on.
func (r *Register) Absolve(fingerprint uint64) loadreport.Strikes {
	if r.count.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateCount()
	now := r.now()
	var absolved loadreport.Strikes
	for _, s := range r.quarantine.Absolve(now, fingerprint) {
		strike := r.outgoing(now, s)
		strike.Absolved = true
		absolved = append(absolved, strike)
	}
	return absolved
}

// Merge records the strikes of another process that are of this register's kind. It returns
// those that were new, and the verdicts on the requests that they put into quarantine.
func (r *Register) Merge(received loadreport.Strikes) (news loadreport.Strikes, quarantined []Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateCount()
	now := r.now()
	var fingerprints []uint64 // In the order of received.
	reported := make(map[uint64][]routing.Strike)
	for _, strike := range received {
		if strike.Part != r.parts {
			continue
		}
		s := routing.Strike{Fingerprint: strike.Fingerprint, Crash: CrashText(strike.Crash), At: now.Add(-strike.Age), Late: strike.Late, Shared: strike.Shared, Weak: strike.Weak}
		r.crashes.add(s.Crash, s.At)
		if strike.Absolved {
			if r.quarantine.AbsolveStrike(now, s) {
				news = append(news, strike)
			}
			continue
		}
		if reported[s.Fingerprint] == nil {
			fingerprints = append(fingerprints, s.Fingerprint)
		}
		reported[s.Fingerprint] = append(reported[s.Fingerprint], s)
	}
	for _, fingerprint := range fingerprints {
		wasRefused := r.verdict(now, fingerprint).Refused
		recorded := r.quarantine.RecordStrikes(now, fingerprint, reported[fingerprint])
		for _, s := range recorded {
			news = append(news, r.outgoing(now, s))
		}
		if verdict := r.verdict(now, fingerprint); len(recorded) > 0 && verdict.Refused && !wasRefused {
			quarantined = append(quarantined, verdict)
		}
	}
	return news, quarantined
}

// Snapshot returns up to loadreport.MaxStrikes strikes for a process that may know none:
// those of requests with the most strikes first, then the newest.
func (r *Register) Snapshot() loadreport.Strikes {
	if r.count.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	known := r.quarantine.RecentStrikes(now, maxSnapshotAge)
	perFingerprint := make(map[uint64]int)
	for _, s := range known {
		perFingerprint[s.Fingerprint]++
	}
	slices.SortStableFunc(known, func(a, b routing.Strike) int {
		if byCount := perFingerprint[b.Fingerprint] - perFingerprint[a.Fingerprint]; byCount != 0 {
			return byCount
		}
		return b.At.Compare(a.At)
	})
	var snapshot loadreport.Strikes
	for _, s := range known[:min(len(known), loadreport.MaxStrikes)] {
		snapshot = append(snapshot, r.outgoing(now, s))
	}
	return snapshot
}

// maxSnapshotAge is the age of the oldest strikes in a snapshot, that of the longest
// quarantine.
const maxSnapshotAge = 10 * time.Minute

// Quarantined returns the number of requests in quarantine.
func (r *Register) Quarantined() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Quarantined(r.now())
}

// updateCount is called with mu held.
func (r *Register) updateCount() {
	r.count.Store(int64(r.quarantine.Len()))
}

// outgoing encodes a strike for other processes. Its crash is the text of CrashText.
func (r *Register) outgoing(now time.Time, s routing.Strike) loadreport.Strike {
	// Only CrashText makes these texts, so that they parse.
	crash, _ := strconv.ParseUint(s.Crash, 16, 64)
	return loadreport.Strike{Fingerprint: s.Fingerprint, Part: r.parts, Crash: crash, Age: now.Sub(s.At), Late: s.Late, Shared: s.Shared, Weak: s.Weak}
}
