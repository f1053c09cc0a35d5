package agent

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/wire"
)

const (
	strikeRelayAge = 5 * time.Second
	maxRelayed     = 8
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
			r.strikes = append(r.strikes, relayedStrike{s.GetFingerprint(), s.GetCrash(), at})
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

// recent returns the strikes that still travel.
func (r *strikeRelay) recent(now time.Time) []*wire.Strike {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*wire.Strike
	for _, s := range r.strikes {
		age := now.Sub(s.at)
		if age > strikeRelayAge {
			continue
		}
		out = append(out, &wire.Strike{Fingerprint: s.fingerprint, Crash: s.crash, AgeMs: uint32(max(0, age.Milliseconds()))})
	}
	return out
}
