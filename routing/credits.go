package routing

import (
	"math"
	"time"

	"github.com/snipestep/snipestep/core"
)

// Credits returns how many calls of each rank each of the entries may send
// now. Guaranteed slots stay reserved for their rank; rounding up may grant
// each entry up to one call more.
func (q *Queue) Credits(entries int) [core.RankCount]int {
	var credits [core.RankCount]int
	if entries <= 0 {
		return credits
	}
	for rank := range core.RankCount {
		available := q.availableCredits(core.Rank(rank))
		credits[rank] = (available + entries - 1) / entries
	}
	return credits
}

// availableCredits returns how many more calls of the rank all entries
// together may send.
func (q *Queue) availableCredits(rank core.Rank) int {
	free := q.config.Slots
	for other := range core.RankCount {
		switch {
		case core.Rank(other) <= rank:
			free -= q.runningByRank[other]
			free -= q.backlog.waiting[other]
		default:
			free -= min(q.runningByRank[other]+q.backlog.waiting[other], q.guaranteed[other])
		}
	}
	guaranteedFree := q.guaranteed[rank] - q.runningByRank[rank] - q.backlog.waiting[rank]
	return max(max(free, guaranteedFree, -q.backlog.waiting[rank])+q.creditsBeyondFreeSlots(), 0)
}

// creditsBeyondFreeSlots returns how many calls of a rank may wait beyond the
// free slots: those expected to start before the next report, and QueueAhead.
func (q *Queue) creditsBeyondFreeSlots() int {
	serviceTime := max(q.meanServiceTime, time.Millisecond)
	expectedStarts := float64(q.config.Slots) * float64(q.config.ReportInterval) / float64(serviceTime)
	return q.config.QueueAhead + int(math.Ceil(expectedStarts))
}
