package weights

import "time"

const (
	// unreachableAfterLosses is the number of consecutive lost peers after
	// which their region counts as unreachable.
	unreachableAfterLosses = 3
	// maxUnreachableDoublings limits the growth of the time that a region counts
	// as unreachable.
	maxUnreachableDoublings = 3
)

// regionState is a Picker's state of the link to another region.
type regionState struct {
	inFlight          int // Requests to peers in the region.
	consecutiveLosses int // Peers lost since the last answer.
	unreachableUntil  time.Time
}

// recordLoss records that a peer was lost with requests in flight.
func (s *regionState) recordLoss(now time.Time, backoff time.Duration) {
	s.consecutiveLosses++
	if s.consecutiveLosses >= unreachableAfterLosses {
		s.unreachableUntil = now.Add(backoff << min(s.consecutiveLosses-unreachableAfterLosses, maxUnreachableDoublings))
	}
}

// recordAnswer records any answer from the region.
func (s *regionState) recordAnswer() {
	s.consecutiveLosses = 0
	s.unreachableUntil = time.Time{}
}
