package routing

import "github.com/snipestep/snipestep/core"

// demand is the state from which the rank to start next is picked.
type demand struct {
	waiting    [core.RankCount]int
	running    [core.RankCount]int
	guaranteed [core.RankCount]int
	turns      [core.RankCount]float64
}

func (q *Queue) demand() demand {
	d := demand{running: q.runningRank, guaranteed: q.guaranteed, turns: q.turns}
	for rank := range core.RankCount {
		d.waiting[rank] = q.room.lanes[rank].waiting
	}
	return d
}

// pick returns the rank to start next: the most urgent one below its
// guarantee, then one whose turn it is, then the most urgent one.
func (d *demand) pick() (core.Rank, bool) {
	for _, rank := range core.Ranks {
		if d.waiting[rank] > 0 && d.running[rank] < d.guaranteed[rank] {
			return rank, true
		}
	}
	for _, rank := range core.Ranks {
		if d.waiting[rank] > 0 && d.turns[rank] >= 1 {
			return rank, true
		}
	}
	for _, rank := range core.Ranks {
		if d.waiting[rank] > 0 {
			return rank, true
		}
	}
	return 0, false
}

// start moves one call of the rank from waiting to running.
func (d *demand) start(rank core.Rank) {
	d.waiting[rank]--
	d.running[rank]++
}
