package routing

import (
	"math"
	"time"

	"github.com/snipestep/snipestep/core"
)

const (
	// maxEstimatedWait caps every wait estimate.
	maxEstimatedWait = time.Minute
	// minRetryAfter is the least RetryAfter of a ShedError.
	minRetryAfter = 100 * time.Millisecond
	// admissionPatienceShare is the fraction of its rank's patience that an
	// admitted call may be expected to wait, including Call.Waited.
	admissionPatienceShare = 0.75
)

// Capacity describes the slots that serve a backlog.
type Capacity struct {
	// Slots is how many calls run at the same time.
	Slots float64
	// MeanServiceTime is the mean time that one call occupies a slot.
	MeanServiceTime time.Duration
	// Guaranteed is the number of slots reserved for each rank.
	Guaranteed [core.RankCount]float64
	// StartRate is the recent rate of started calls by rank, per second.
	StartRate [core.RankCount]float64
}

// EstimateWait estimates how long a call of the rank waits behind ahead calls of
// its own rank, given the calls waiting by rank. The estimate is at most one
// minute.
func (c Capacity) EstimateWait(rank core.Rank, ahead float64, waiting [core.RankCount]int) time.Duration {
	serviceSeconds := c.MeanServiceTime.Seconds()
	if c.Slots <= 0 {
		return maxEstimatedWait
	}
	if serviceSeconds <= 0 {
		return 0
	}
	totalRate := c.Slots / serviceSeconds
	availableRate := totalRate
	moreUrgentWaiting := 0.0
	for other := range core.RankCount {
		switch {
		case core.Rank(other) < rank:
			availableRate -= c.StartRate[other]
			moreUrgentWaiting += float64(waiting[other])
		case core.Rank(other) > rank:
			availableRate -= math.Min(c.StartRate[other], c.Guaranteed[other]/serviceSeconds)
		}
	}
	sharedWait := math.Max(drainSeconds(ahead+1, availableRate), drainSeconds(ahead+1+moreUrgentWaiting, totalRate))
	guaranteedWait := drainSeconds(ahead+1, c.Guaranteed[rank]/serviceSeconds)
	wait := math.Min(sharedWait, guaranteedWait)
	return time.Duration(math.Min(wait, maxEstimatedWait.Seconds()) * float64(time.Second))
}

// drainSeconds returns calls / rate, or maxEstimatedWait if the rate is not
// positive.
func drainSeconds(calls, rate float64) float64 {
	if rate <= 0 {
		return maxEstimatedWait.Seconds()
	}
	return calls / rate
}

// checkAdmission returns *ShedError for a call that is expected to wait too
// long.
func checkAdmission(now time.Time, c Call, p Policy, wait time.Duration) error {
	if p.Patience > 0 {
		maxAccepted := time.Duration(admissionPatienceShare * float64(p.Patience))
		if wait+c.Waited > maxAccepted {
			return &ShedError{Rank: c.Rank, RetryAfter: retryAfter(wait, maxAccepted), Reason: ShedPatience}
		}
	}
	if !c.Deadline.IsZero() && now.Add(wait).After(c.Deadline) {
		return &ShedError{Rank: c.Rank, RetryAfter: retryAfter(wait, 0), Reason: ShedDeadline}
	}
	return nil
}

// retryAfter returns the time until the expected wait has fallen to half of
// maxAccepted.
func retryAfter(wait, maxAccepted time.Duration) time.Duration {
	return min(max(wait-maxAccepted/2, minRetryAfter), maxEstimatedWait)
}
