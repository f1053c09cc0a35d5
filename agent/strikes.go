package agent

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/wire"
)

const (
	// reportsPerStrike is the number of reports that repeat a strike, because
	// datagrams get lost.
	reportsPerStrike  = 3
	maxRelayedStrikes = 8
)

// strikeRelay relays strikes, which mark requests that were in flight at a
// crash, from each entry to the others, so that entries need no sessions with
// one another for them.
type strikeRelay struct {
	mu      sync.Mutex
	strikes []relayedStrike
}

// relayedStrike is a strike with the time of the crash by the agent's clock.
type relayedStrike struct {
	fingerprint uint64
	crashID     string
	crashedAt   time.Time
	sentReports int // Number of reports that included the strike.
}

// add stores strikes that it does not contain yet, and evicts the oldest ones
// beyond maxRelayedStrikes. It reports whether any was new.
func (r *strikeRelay) add(strikes []*wire.Strike, now time.Time) bool {
	if len(strikes) == 0 {
		return false
	}
	added := false
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range strikes {
		if !r.contains(s) {
			added = true
			crashedAt := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
			r.strikes = append(r.strikes, relayedStrike{fingerprint: s.GetFingerprint(), crashID: s.GetCrash(), crashedAt: crashedAt})
		}
	}
	if excess := len(r.strikes) - maxRelayedStrikes; excess > 0 {
		r.strikes = append(r.strikes[:0], r.strikes[excess:]...)
	}
	return added
}

func (r *strikeRelay) contains(s *wire.Strike) bool {
	for _, known := range r.strikes {
		if known.fingerprint == s.GetFingerprint() && known.crashID == s.GetCrash() {
			return true
		}
	}
	return false
}

// takeForReport returns the strikes for the next report and counts the report
// for each of them.
func (r *strikeRelay) takeForReport(now time.Time) []*wire.Strike {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*wire.Strike
	for i := range r.strikes {
		s := &r.strikes[i]
		if s.sentReports >= reportsPerStrike {
			continue
		}
		s.sentReports++
		age := max(0, now.Sub(s.crashedAt).Milliseconds())
		due = append(due, &wire.Strike{Fingerprint: s.fingerprint, Crash: s.crashID, AgeMs: uint32(age)})
	}
	return due
}
