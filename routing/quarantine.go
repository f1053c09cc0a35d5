package routing

import (
	"maps"
	"slices"
	"time"
)

const (
	strikeWeight       = 4
	lateStrikeWeight   = 2
	sharedStrikeWeight = 2
	weakStrikeWeight   = 3

	defaultQuarantineStrikes = 2
	defaultStrikeTTL         = 2 * time.Minute
	defaultQuarantineTTL     = 10 * time.Minute
	defaultMaxFingerprints   = 4096
)

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	// StrikeTTL is how long a first strike counts; 2 min by default.
	StrikeTTL time.Duration
	// QuarantineTTL is how long a request is refused after its last strike;
	// 10 min by default.
	QuarantineTTL time.Duration
	// QuarantineStrikes is the number of strikes that quarantine a request, 2 by default;
	// two late or shared ones count as one.
	QuarantineStrikes int
	// TrialAfter is how long after the last strike a request with fewer than ProvenStrikes
	// may run again; QuarantineTTL by default. It stays a suspect. ProvenStrikes, one more
	// than QuarantineStrikes by default, quarantine it for QuarantineTTL.
	TrialAfter    time.Duration
	ProvenStrikes int
	// MaxFingerprints bounds the fingerprints with strikes; 4096 by
	// default.
	MaxFingerprints int
}

// Quarantine refuses requests that were in flight at two endpoint crashes.
// After one crash a request is a suspect. Quarantine is not safe for
// concurrent use.
type Quarantine struct {
	config  QuarantineConfig
	strikes map[uint64][]Strike
	// cleared holds cleared strikes for QuarantineTTL, as long as other entries may
	// report them, so that later reports of the same crash do not count.
	cleared map[uint64][]Strike
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(config QuarantineConfig) *Quarantine {
	if config.StrikeTTL <= 0 {
		config.StrikeTTL = defaultStrikeTTL
	}
	if config.QuarantineTTL <= 0 {
		config.QuarantineTTL = defaultQuarantineTTL
	}
	if config.QuarantineStrikes <= 0 {
		config.QuarantineStrikes = defaultQuarantineStrikes
	}
	if config.ProvenStrikes <= 0 {
		config.ProvenStrikes = config.QuarantineStrikes + 1
	}
	if config.TrialAfter <= 0 {
		config.TrialAfter = config.QuarantineTTL
	}
	if config.MaxFingerprints <= 0 {
		config.MaxFingerprints = defaultMaxFingerprints
	}
	return &Quarantine{
		config:  config,
		strikes: make(map[uint64][]Strike),
		cleared: make(map[uint64][]Strike),
	}
}

// RecordStrike records a strike seen here or at another entry and reports
// whether it was new. Recording it again has no effect.
func (q *Quarantine) RecordStrike(now time.Time, s Strike) bool {
	return len(q.RecordStrikes(now, s.Fingerprint, []Strike{s})) > 0
}

// RecordStrikes records all strikes that another entry knows against a fingerprint and
// returns the new ones, and those that were weak and are not any more. Several may quarantine a request
// although each alone has expired.
func (q *Quarantine) RecordStrikes(now time.Time, fingerprint uint64, reported []Strike) []Strike {
	strikes := q.activeStrikes(now, fingerprint)
	var added, confirmed []Strike
	for _, s := range reported {
		if i := slices.IndexFunc(strikes, func(known Strike) bool { return known.Crash == s.Crash }); i >= 0 && strikes[i].Weak && !s.Weak {
			strikes[i].Weak = false
			confirmed = append(confirmed, strikes[i])
		}
		if hasCrash(strikes, s.Crash) || hasCrash(added, s.Crash) || hasCrash(q.cleared[fingerprint], s.Crash) {
			continue
		}
		if s.At.After(now) {
			s.At = now
		}
		added = append(added, s)
	}
	all := q.unexpired(slices.Concat(strikes, added))
	added = slices.DeleteFunc(added, func(s Strike) bool { return !hasCrash(all, s.Crash) })
	if len(added) == 0 || !q.active(now, all) {
		return confirmed
	}
	if len(strikes) == 0 {
		q.evict(now)
	}
	q.strikes[fingerprint] = all
	return append(confirmed, added...)
}

// WeakFingerprints returns the fingerprints that only weak strikes, with others, may quarantine.
func (q *Quarantine) WeakFingerprints(now time.Time) []uint64 {
	var weak []uint64
	for fingerprint := range q.strikes {
		if q.RestsOnWeakStrikes(now, fingerprint) {
			weak = append(weak, fingerprint)
		}
	}
	return weak
}

// Confirm makes the weak strikes of a fingerprint count as others, and returns them.
func (q *Quarantine) Confirm(fingerprint uint64) []Strike {
	var confirmed []Strike
	for i := range q.strikes[fingerprint] {
		if s := &q.strikes[fingerprint][i]; s.Weak {
			s.Weak = false
			confirmed = append(confirmed, *s)
		}
	}
	return confirmed
}

// unexpired sorts the strikes of a fingerprint by time, and drops those that had expired
// when the next one followed.
func (q *Quarantine) unexpired(strikes []Strike) []Strike {
	slices.SortStableFunc(strikes, func(a, b Strike) int { return a.At.Compare(b.At) })
	first := 0
	for next := range strikes {
		if next > first && !strikes[next].At.Before(q.expiryOf(strikes[first:next])) {
			first = next
		}
	}
	return strikes[first:]
}

// IsSuspect reports whether the request must run alone.
func (q *Quarantine) IsSuspect(now time.Time, fingerprint uint64) bool {
	return len(q.activeStrikes(now, fingerprint)) > 0
}

// Refused reports whether the request is quarantined, and for how much longer.
func (q *Quarantine) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	strikes := q.activeStrikes(now, fingerprint)
	remaining := q.refusedUntil(strikes).Sub(now)
	return max(remaining, 0), remaining > 0
}

// OnTrial reports whether the quarantine of a request has ended, while its strikes still
// count.
func (q *Quarantine) OnTrial(now time.Time, fingerprint uint64) bool {
	strikes := q.activeStrikes(now, fingerprint)
	return q.isEnough(strikes) && !now.Before(q.refusedUntil(strikes))
}

// refusedUntil returns when the quarantine for the strikes ends, the zero time if they
// are too few for one.
func (q *Quarantine) refusedUntil(strikes []Strike) time.Time {
	switch {
	case !q.isEnough(strikes):
		return time.Time{}
	case totalWeight(strikes) < q.config.ProvenStrikes*strikeWeight:
		return lastStrikeAt(strikes).Add(q.config.TrialAfter)
	default:
		return lastStrikeAt(strikes).Add(q.config.QuarantineTTL)
	}
}

// Strikes returns the strikes of a fingerprint that have not expired.
func (q *Quarantine) Strikes(now time.Time, fingerprint uint64) []Strike {
	return slices.Clone(q.activeStrikes(now, fingerprint))
}

// Len returns the number of fingerprints with strikes, expired ones included.
func (q *Quarantine) Len() int {
	return len(q.strikes)
}

// Quarantined returns the number of requests in quarantine.
func (q *Quarantine) Quarantined(now time.Time) int {
	n := 0
	for _, strikes := range q.strikes {
		if now.Before(q.refusedUntil(strikes)) {
			n++
		}
	}
	return n
}

// ClearStrike clears the strike of a suspect that ran alone without a crash.
// Later reports of the same crash by other entries do not count either.
func (q *Quarantine) ClearStrike(now time.Time, fingerprint uint64) {
	if !q.isEnough(q.activeStrikes(now, fingerprint)) {
		q.Absolve(now, fingerprint)
	}
}

// Absolve clears and returns all strikes of a request that ran to its end, which proves
// that it crashes no endpoint. Later reports of the same crashes do not count.
func (q *Quarantine) Absolve(now time.Time, fingerprint uint64) []Strike {
	strikes := q.activeStrikes(now, fingerprint)
	for _, s := range strikes {
		q.AbsolveStrike(now, s)
	}
	return strikes
}

// AbsolveStrike clears one strike, also one that another entry has cleared, and reports
// whether that was new.
func (q *Quarantine) AbsolveStrike(now time.Time, s Strike) bool {
	if hasCrash(q.cleared[s.Fingerprint], s.Crash) {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(q.strikes[s.Fingerprint]), func(other Strike) bool { return other.Crash == s.Crash })
	if len(others) > 0 {
		q.strikes[s.Fingerprint] = others
	} else {
		delete(q.strikes, s.Fingerprint)
	}
	q.dropExpiredCleared(now)
	if len(q.cleared) >= q.config.MaxFingerprints && q.cleared[s.Fingerprint] == nil {
		return false
	}
	q.cleared[s.Fingerprint] = append(q.cleared[s.Fingerprint], s)
	q.blameLastSuspect(s.Crash)
	return true
}

// blameLastSuspect gives the whole blame for a crash to the only fingerprint that is left of
// those that shared it.
func (q *Quarantine) blameLastSuspect(crash string) {
	var last *Strike
	for _, strikes := range q.strikes {
		i := slices.IndexFunc(strikes, func(s Strike) bool { return s.Crash == crash && s.Shared })
		if i < 0 {
			continue
		}
		if last != nil {
			return
		}
		last = &strikes[i]
	}
	if last != nil {
		last.Shared = false
	}
}

func (q *Quarantine) dropExpiredCleared(now time.Time) {
	maps.DeleteFunc(q.cleared, func(_ uint64, strikes []Strike) bool {
		return !now.Before(lastStrikeAt(strikes).Add(q.config.QuarantineTTL))
	})
}

func hasCrash(strikes []Strike, crash string) bool {
	return slices.ContainsFunc(strikes, func(s Strike) bool { return s.Crash == crash })
}

// RecentStrikes returns the strikes no older than age, the newest last, to be sent to
// other entries.
func (q *Quarantine) RecentStrikes(now time.Time, age time.Duration) []Strike {
	var recent []Strike
	for _, strikes := range q.strikes {
		for _, s := range strikes {
			if now.Sub(s.At) <= age {
				recent = append(recent, s)
			}
		}
	}
	slices.SortFunc(recent, func(a, b Strike) int { return a.At.Compare(b.At) })
	return recent
}

// activeStrikes returns the strikes of a fingerprint unless they have expired,
// and drops expired ones.
func (q *Quarantine) activeStrikes(now time.Time, fingerprint uint64) []Strike {
	strikes, ok := q.strikes[fingerprint]
	if !ok {
		return nil
	}
	if !q.active(now, strikes) {
		delete(q.strikes, fingerprint)
		return nil
	}
	return strikes
}

func (q *Quarantine) active(now time.Time, strikes []Strike) bool {
	return now.Before(q.expiryOf(strikes))
}

// expiryOf returns when the strikes expire.
func (q *Quarantine) expiryOf(strikes []Strike) time.Time {
	if !q.isEnough(strikes) {
		return lastStrikeAt(strikes).Add(q.config.StrikeTTL)
	}
	return lastStrikeAt(strikes).Add(q.config.QuarantineTTL)
}

// isEnough reports whether the strikes quarantine a request.
func (q *Quarantine) isEnough(strikes []Strike) bool {
	return totalWeight(strikes) >= q.config.QuarantineStrikes*strikeWeight
}

// RestsOnWeakStrikes reports whether the strikes of a fingerprint quarantine it only together with
// weak ones.
func (q *Quarantine) RestsOnWeakStrikes(now time.Time, fingerprint uint64) bool {
	strikes := q.activeStrikes(now, fingerprint)
	others := slices.DeleteFunc(slices.Clone(strikes), func(s Strike) bool { return s.Weak })
	return q.isEnough(strikes) && !q.isEnough(others)
}

func totalWeight(strikes []Strike) int {
	weight := 0
	for _, s := range strikes {
		switch {
		case s.Late:
			weight += lateStrikeWeight
		case s.Shared:
			weight += sharedStrikeWeight
		case s.Weak:
			weight += weakStrikeWeight
		default:
			weight += strikeWeight
		}
	}
	return weight
}

func lastStrikeAt(strikes []Strike) time.Time {
	var last time.Time
	for _, s := range strikes {
		if s.At.After(last) {
			last = s.At
		}
	}
	return last
}

// evict drops expired fingerprints once MaxFingerprints is reached, and the one
// that expires first if there are still too many.
func (q *Quarantine) evict(now time.Time) {
	if len(q.strikes) < q.config.MaxFingerprints {
		return
	}
	var earliest uint64
	var earliestExpiry time.Time
	for fingerprint, strikes := range q.strikes {
		expiry := q.expiryOf(strikes)
		if !now.Before(expiry) {
			delete(q.strikes, fingerprint)
			continue
		}
		if earliestExpiry.IsZero() || expiry.Before(earliestExpiry) {
			earliest = fingerprint
			earliestExpiry = expiry
		}
	}
	if len(q.strikes) >= q.config.MaxFingerprints {
		delete(q.strikes, earliest)
	}
}
