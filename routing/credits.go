package routing

import (
	"math"
	"time"

	"github.com/snipestep/snipestep/core"
)

// Credits returns how many calls of each rank every one of peers entries may
// send now. Ranks keep room for their guaranteed slots; rounding up may grant
// up to one call more to each peer.
func (q *Queue) Credits(peers int) [core.RankCount]int {
	var credits [core.RankCount]int
	if peers <= 0 {
		return credits
	}
	for rank := range core.RankCount {
		room := q.creditRoom(core.Rank(rank))
		credits[rank] = (room + peers - 1) / peers
	}
	return credits
}

// creditRoom returns how many more calls of the rank should wait here.
func (q *Queue) creditRoom(rank core.Rank) int {
	free := q.config.Slots
	for other := range core.RankCount {
		switch {
		case core.Rank(other) <= rank:
			free -= q.runningRank[other]
			free -= q.room.waiting[other]
		default:
			free -= min(q.runningRank[other]+q.room.waiting[other], q.guaranteed[other])
		}
	}
	kept := q.guaranteed[rank] - q.runningRank[rank] - q.room.waiting[rank]
	return max(max(free, kept, -q.room.waiting[rank])+q.creditAhead(), 0)
}

// creditAhead returns how many calls of a rank may wait beyond the free slots:
// what starts until the next report, and QueueAhead.
func (q *Queue) creditAhead() int {
	mean := max(q.meanService, time.Millisecond)
	starts := float64(q.config.Slots) * float64(q.config.ReportInterval) / float64(mean)
	return q.config.QueueAhead + int(math.Ceil(starts))
}
