package entry

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

// strikeShareAge is how long a strike travels with the datagrams, and
// maxSharedStrikes how many fit in one.
const (
	strikeShareAge   = 5 * time.Second
	maxSharedStrikes = 8
)

// quarantine shares a routing.Quarantine between the goroutines of calls.
type quarantine struct {
	now func() time.Time
	// onStrike tells that a new strike should travel at once.
	onStrike func()

	mu    sync.Mutex
	inner *routing.Quarantine
}

func newQuarantine(now func() time.Time) *quarantine {
	return &quarantine{now: now, inner: routing.NewQuarantine(routing.QuarantineConfig{}), onStrike: func() {}}
}

// refused reports whether the request is quarantined and for how long.
func (q *quarantine) refused(fingerprint uint64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inner.Refused(q.now(), fingerprint)
}

// suspect reports whether the request must run alone.
func (q *quarantine) suspect(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inner.IsSuspect(q.now(), fingerprint)
}

// strike records a crash seen here.
func (q *quarantine) strike(fingerprint uint64, crash string) {
	q.mu.Lock()
	added := q.inner.RecordStrike(q.now(), routing.Strike{Fingerprint: fingerprint, Crash: crash, At: q.now()})
	q.mu.Unlock()
	if added {
		q.onStrike()
	}
}

// absolve clears a suspect that ran alone to its end.
func (q *quarantine) absolve(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inner.ClearStrike(q.now(), fingerprint)
}

// size returns the number of quarantined requests.
func (q *quarantine) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inner.Quarantined(q.now())
}

// merge takes the strikes of other entries.
func (q *quarantine) merge(strikes []*wire.Strike) {
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

// recent returns the newest strikes for the datagrams.
func (q *quarantine) recent() []*wire.Strike {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	strikes := q.inner.RecentStrikes(now, strikeShareAge)
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
