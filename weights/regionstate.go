package weights

import "time"

const (
	// regionLostAfter is the number of peers lost in a row after which
	// their region counts as unreachable.
	regionLostAfter = 3
	// maxRegionDoublings bounds the growth of the time that a region counts
	// as unreachable.
	maxRegionDoublings = 3
)

// regionState is what a Picker knows of the link to another region.
type regionState struct {
	flights   int
	failures  int // Peers lost since the last answer.
	lostUntil time.Time
}

// lost records a peer that was lost while it had requests.
func (s *regionState) lost(now time.Time, pause time.Duration) {
	s.failures++
	if s.failures >= regionLostAfter {
		s.lostUntil = now.Add(pause << min(s.failures-regionLostAfter, maxRegionDoublings))
	}
}

// answered records any answer from the region.
func (s *regionState) answered() {
	s.failures = 0
	s.lostUntil = time.Time{}
}
