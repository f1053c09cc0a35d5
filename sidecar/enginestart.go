package sidecar

import (
	"time"

	"github.com/snipestep/snipestep/loadreport"
)

// maxLoopGap is the longest gap in the reporter's loop in which the agent cannot have missed
// that subscriptions were renewed or ran out, nor an entry that started.
const maxLoopGap = time.Second

// engineStart tells since when the engine runs, and whether the agent knows all entries. It
// outlives failed polls, which clear the engine's state: a restart next to one would go
// unnoticed otherwise.
type engineStart struct {
	// startUnixMS is the start that the engine named last. It only tells starts apart: the
	// clocks of engine and agent are not compared.
	startUnixMS int64
	// since is when the agent saw the start, or its first poll that the engine answered; zero
	// before.
	since time.Time
	seen  bool
	// runningSince is since when the loop has run without a gap, lastRunAt its last round.
	runningSince, lastRunAt time.Time
}

// answered records the start that the engine names in the answer to a poll, 0 if it names none.
// afterFailure says that the poll before failed: an engine that names no start may have started
// again then.
func (s *engineStart) answered(now time.Time, startUnixMS int64, afterFailure bool) {
	if s.since.IsZero() {
		s.since, s.startUnixMS = now, startUnixMS
		return
	}
	if startUnixMS != s.startUnixMS || (startUnixMS == 0 && afterFailure) {
		s.since, s.startUnixMS, s.seen = now, startUnixMS, true
	}
}

// age returns the time since the start for a report.
func (s *engineStart) age(now time.Time) loadreport.StartAge {
	if s.since.IsZero() {
		return loadreport.StartAge{}
	}
	return loadreport.StartAge{Known: true, Seen: s.seen, Age: now.Sub(s.since)}
}

// settled records a round of the loop, and reports whether the agent has run without a gap for
// as long as a subscription is valid. Whether the engine answers does not matter.
func (s *engineStart) settled(now time.Time) bool {
	if s.lastRunAt.IsZero() || now.Sub(s.lastRunAt) >= maxLoopGap {
		s.runningSince = now
	}
	s.lastRunAt = now
	return now.Sub(s.runningSince) >= loadreport.SubscriptionTTL
}
