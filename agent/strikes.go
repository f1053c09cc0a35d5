package agent

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/wire"
)

const (
	// strikeRepeats is the number of reports that carry a strike, since
	// datagrams get lost.
	strikeRepeats = 3
	maxRelayed    = 8
)

// strikeRelay passes the strikes that entries send on to the other entries,
// so that entries need no sessions with one another for them.
type strikeRelay struct {
	mu      sync.Mutex
	strikes []relayedStrike
}

// relayedStrike is a strike with the time of the crash as seen here.
type relayedStrike struct {
	fingerprint uint64
	crash       string
	at          time.Time
	sent        int // Reports that carried it.
}

// add takes strikes; those known already are ignored, the oldest ones make
// room. It reports whether any was new.
func (r *strikeRelay) add(strikes []*wire.Strike, now time.Time) bool {
	if len(strikes) == 0 {
		return false
	}
	added := false
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range strikes {
		if !r.holds(s) {
			added = true
			at := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
			r.strikes = append(r.strikes, relayedStrike{fingerprint: s.GetFingerprint(), crash: s.GetCrash(), at: at})
		}
	}
	if extra := len(r.strikes) - maxRelayed; extra > 0 {
		r.strikes = append(r.strikes[:0], r.strikes[extra:]...)
	}
	return added
}

func (r *strikeRelay) holds(s *wire.Strike) bool {
	for _, held := range r.strikes {
		if held.fingerprint == s.GetFingerprint() && held.crash == s.GetCrash() {
			return true
		}
	}
	return false
}

// next returns the strikes for the next report.
func (r *strikeRelay) next(now time.Time) []*wire.Strike {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*wire.Strike
	for i := range r.strikes {
		s := &r.strikes[i]
		if s.sent >= strikeRepeats {
			continue
		}
		s.sent++
		age := max(0, now.Sub(s.at).Milliseconds())
		out = append(out, &wire.Strike{Fingerprint: s.fingerprint, Crash: s.crash, AgeMs: uint32(age)})
	}
	return out
}
