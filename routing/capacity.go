package routing

import (
	"math"
	"time"

	"github.com/snipestep/snipestep/core"
)

const (
	// maxWait bounds every estimate.
	maxWait = time.Minute
	// minRetryAfter is the shortest pause asked of a caller.
	minRetryAfter = 100 * time.Millisecond
	// acceptedPatience is the part of its patience that a call may be
	// expected to wait when it is taken.
	acceptedPatience = 0.75
)

// Capacity describes what serves a backlog.
type Capacity struct {
	// Slots run calls at the same time.
	Slots float64
	// MeanService is how long a slot serves one call.
	MeanService time.Duration
	// Guaranteed is the number of slots kept for each rank.
	Guaranteed [core.RankCount]float64
	// StartRate is the recent rate of started calls by rank, per second.
	StartRate [core.RankCount]float64
}

// Wait estimates how long a call of the rank waits behind ahead calls of its
// own rank, given the calls waiting by rank. It is at most one minute.
func (c Capacity) Wait(rank core.Rank, ahead float64, waiting [core.RankCount]int) time.Duration {
	mean := c.MeanService.Seconds()
	if c.Slots <= 0 {
		return maxWait
	}
	if mean <= 0 {
		return 0
	}
	total := c.Slots / mean
	left := total
	moreUrgent := 0.0
	for other := range core.RankCount {
		switch {
		case core.Rank(other) < rank:
			left -= c.StartRate[other]
			moreUrgent += float64(waiting[other])
		case core.Rank(other) > rank:
			left -= math.Min(c.StartRate[other], c.Guaranteed[other]/mean)
		}
	}
	shared := math.Max(seconds(ahead+1, left), seconds(ahead+1+moreUrgent, total))
	kept := seconds(ahead+1, c.Guaranteed[rank]/mean)
	wait := math.Min(shared, kept)
	return time.Duration(math.Min(wait, maxWait.Seconds()) * float64(time.Second))
}

// seconds returns calls / rate, bounded for rates of zero and below.
func seconds(calls, rate float64) float64 {
	if rate <= 0 {
		return maxWait.Seconds()
	}
	return calls / rate
}

// check returns the error for a call that is expected to wait too long.
func check(now time.Time, c Call, p Policy, wait time.Duration) error {
	if p.Patience > 0 {
		accepted := time.Duration(acceptedPatience * float64(p.Patience))
		if wait+c.Waited > accepted {
			return &ShedError{Rank: c.Rank, RetryAfter: retryAfter(wait, accepted), Reason: ShedPatience}
		}
	}
	if !c.Deadline.IsZero() && now.Add(wait).After(c.Deadline) {
		return &ShedError{Rank: c.Rank, RetryAfter: retryAfter(wait, 0), Reason: ShedDeadline}
	}
	return nil
}

// retryAfter returns how long it takes until half of what may wait is left.
func retryAfter(wait, accepted time.Duration) time.Duration {
	return min(max(wait-accepted/2, minRetryAfter), maxWait)
}
