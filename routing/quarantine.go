package routing

import (
	"maps"
	"slices"
	"time"
)

const (
	// quarantineStrikes is the number of crashes after which a request is
	// refused.
	quarantineStrikes = 2

	defaultStrikeMemory   = 2 * time.Minute
	defaultQuarantineTime = 10 * time.Minute
	defaultMaxStruck      = 4096
)

// QuarantineConfig sets a Quarantine.
type QuarantineConfig struct {
	// StrikeMemory is how long a first strike counts; 2 min by default.
	StrikeMemory time.Duration
	// Lapse is how long a request stays refused after its last strike;
	// 10 min by default.
	Lapse time.Duration
	// MaxFingerprints bounds the fingerprints kept; 4096 by default.
	MaxFingerprints int
}

// Quarantine refuses requests that were in flight at two crashes. After one
// crash a request is a suspect. It is not safe for concurrent use.
type Quarantine struct {
	config QuarantineConfig
	struck map[uint64][]Strike
	// absolved holds strikes that no longer count, until they would have
	// lapsed.
	absolved map[uint64][]Strike
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(config QuarantineConfig) *Quarantine {
	if config.StrikeMemory <= 0 {
		config.StrikeMemory = defaultStrikeMemory
	}
	if config.Lapse <= 0 {
		config.Lapse = defaultQuarantineTime
	}
	if config.MaxFingerprints <= 0 {
		config.MaxFingerprints = defaultMaxStruck
	}
	return &Quarantine{
		config:   config,
		struck:   make(map[uint64][]Strike),
		absolved: make(map[uint64][]Strike),
	}
}

// Strike records a crash, seen here or at another entry. Recording it again
// changes nothing. It reports whether the strike was new.
func (q *Quarantine) Strike(now time.Time, s Strike) bool {
	if s.At.After(now) {
		s.At = now
	}
	strikes := q.live(now, s.Fingerprint)
	if hasCrash(strikes, s.Crash) || hasCrash(q.absolved[s.Fingerprint], s.Crash) {
		return false
	}
	if !q.counts(now, append(strikes, s)) {
		return false
	}
	if len(strikes) == 0 {
		q.makeRoom(now)
	}
	q.struck[s.Fingerprint] = append(strikes, s)
	return true
}

// Suspect reports whether the request must run alone.
func (q *Quarantine) Suspect(now time.Time, fingerprint uint64) bool {
	return len(q.live(now, fingerprint)) > 0
}

// Refused reports whether the request is quarantined, and for how long.
func (q *Quarantine) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	strikes := q.live(now, fingerprint)
	if len(strikes) < quarantineStrikes {
		return 0, false
	}
	return q.end(strikes).Sub(now), true
}

// Quarantined returns the number of requests in quarantine.
func (q *Quarantine) Quarantined(now time.Time) int {
	n := 0
	for _, strikes := range q.struck {
		if len(strikes) >= quarantineStrikes && q.counts(now, strikes) {
			n++
		}
	}
	return n
}

// Absolve clears the strike of a suspect that ran alone without a crash. The
// same crash reported again by another entry does not count either.
func (q *Quarantine) Absolve(now time.Time, fingerprint uint64) {
	strikes := q.live(now, fingerprint)
	if len(strikes) == 0 || len(strikes) >= quarantineStrikes {
		return
	}
	delete(q.struck, fingerprint)
	q.dropLapsed(now)
	if len(q.absolved) < q.config.MaxFingerprints {
		q.absolved[fingerprint] = append(q.absolved[fingerprint], strikes...)
	}
}

func (q *Quarantine) dropLapsed(now time.Time) {
	maps.DeleteFunc(q.absolved, func(_ uint64, strikes []Strike) bool {
		return !q.counts(now, strikes)
	})
}

func hasCrash(strikes []Strike, crash string) bool {
	return slices.ContainsFunc(strikes, func(s Strike) bool { return s.Crash == crash })
}

// Strikes returns the strikes no older than age, to be sent to other entries.
func (q *Quarantine) Strikes(now time.Time, age time.Duration) []Strike {
	var recent []Strike
	for _, strikes := range q.struck {
		for _, s := range strikes {
			if now.Sub(s.At) <= age {
				recent = append(recent, s)
			}
		}
	}
	return recent
}

// live returns the strikes of a fingerprint that still counts.
func (q *Quarantine) live(now time.Time, fingerprint uint64) []Strike {
	strikes, ok := q.struck[fingerprint]
	if !ok {
		return nil
	}
	if !q.counts(now, strikes) {
		delete(q.struck, fingerprint)
		return nil
	}
	return strikes
}

func (q *Quarantine) counts(now time.Time, strikes []Strike) bool {
	return now.Before(q.end(strikes))
}

// end returns when the strikes lapse.
func (q *Quarantine) end(strikes []Strike) time.Time {
	var last time.Time
	for _, s := range strikes {
		if s.At.After(last) {
			last = s.At
		}
	}
	if len(strikes) < quarantineStrikes {
		return last.Add(q.config.StrikeMemory)
	}
	return last.Add(q.config.Lapse)
}

// makeRoom drops lapsed fingerprints, and the ones that lapse first while
// there are too many.
func (q *Quarantine) makeRoom(now time.Time) {
	if len(q.struck) < q.config.MaxFingerprints {
		return
	}
	var first uint64
	var firstEnd time.Time
	for fingerprint, strikes := range q.struck {
		end := q.end(strikes)
		if !now.Before(end) {
			delete(q.struck, fingerprint)
			continue
		}
		if firstEnd.IsZero() || end.Before(firstEnd) {
			first = fingerprint
			firstEnd = end
		}
	}
	if len(q.struck) >= q.config.MaxFingerprints {
		delete(q.struck, first)
	}
}
