package entry

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

const (
	// maxSharedStrikeAge is how long a strike is included in heartbeats.
	maxSharedStrikeAge = 5 * time.Second
	// maxSharedStrikes is how many strikes fit in one heartbeat.
	maxSharedStrikes = 8
)

// quarantine is a routing.Quarantine that is safe for concurrent use.
type quarantine struct {
	now func() time.Time
	// onStrike is called after a new strike, which should be sent without delay.
	onStrike func()

	mu    sync.Mutex
	inner *routing.Quarantine
}

func newQuarantine(now func() time.Time) *quarantine {
	return &quarantine{now: now, inner: routing.NewQuarantine(routing.QuarantineConfig{}), onStrike: func() {}}
}

// quarantinedFor reports whether the request is quarantined and for how long.
func (q *quarantine) quarantinedFor(fingerprint uint64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inner.Refused(q.now(), fingerprint)
}

// isSuspect reports whether the request must run alone.
func (q *quarantine) isSuspect(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inner.IsSuspect(q.now(), fingerprint)
}

// recordStrike records a crash that this entry saw.
func (q *quarantine) recordStrike(fingerprint uint64, crash string) {
	q.mu.Lock()
	added := q.inner.RecordStrike(q.now(), routing.Strike{Fingerprint: fingerprint, Crash: crash, At: q.now()})
	q.mu.Unlock()
	if added {
		q.onStrike()
	}
}

// clearStrike clears the strike of a suspect that ran alone without a crash.
func (q *quarantine) clearStrike(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inner.ClearStrike(q.now(), fingerprint)
}

// count returns the number of quarantined requests.
func (q *quarantine) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inner.Quarantined(q.now())
}

// mergeStrikes adds the strikes that other entries recorded.
func (q *quarantine) mergeStrikes(strikes []*wire.Strike) {
	if len(strikes) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, s := range strikes {
		at := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
		q.inner.RecordStrike(now, routing.Strike{Fingerprint: s.GetFingerprint(), Crash: s.GetCrash(), At: at})
	}
}

// recentStrikes returns the newest strikes, which heartbeats include.
func (q *quarantine) recentStrikes() []*wire.Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	strikes := q.inner.RecentStrikes(now, maxSharedStrikeAge)
	if len(strikes) > maxSharedStrikes {
		strikes = strikes[len(strikes)-maxSharedStrikes:]
	}
	out := make([]*wire.Strike, 0, len(strikes))
	for _, s := range strikes {
		out = append(out, &wire.Strike{
			Fingerprint: s.Fingerprint,
			Crash:       s.Crash,
			AgeMs:       uint32(now.Sub(s.At).Milliseconds()),
		})
	}
	return out
}
