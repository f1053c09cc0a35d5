package routing

import "github.com/snipestep/snipestep/core"

// demand is the state from which the rank to start next is picked.
type demand struct {
	waiting    [core.RankCount]int
	running    [core.RankCount]int // Without calls started by turn.
	guaranteed [core.RankCount]int
	turns      [core.RankCount]float64
}

func (q *Queue) demand() demand {
	d := demand{guaranteed: q.guaranteed, turns: q.turns}
	for rank := range core.RankCount {
		d.waiting[rank] = q.room.lanes[rank].waiting
		d.running[rank] = q.runningRank[rank] - q.runningByTurn[rank]
	}
	return d
}

// pick returns the rank to start next: one without a whole slot whose turn it
// is, then the most urgent one below its guarantee, then any whose turn it is,
// then the most urgent one.
func (d *demand) pick() (core.Rank, bool) {
	for _, rank := range core.Ranks {
		if d.waiting[rank] > 0 && d.guaranteed[rank] == 0 && d.turnOf(rank) {
			return rank, true
		}
	}
	for _, rank := range core.Ranks {
		if d.waiting[rank] > 0 && d.running[rank] < d.guaranteed[rank] {
			return rank, true
		}
	}
	for _, rank := range core.Ranks {
		if d.waiting[rank] > 0 && d.turnOf(rank) {
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

// turnOf reports whether the rank may start a call beyond its whole slots.
func (d *demand) turnOf(rank core.Rank) bool {
	return d.turns[rank] >= 1 && d.running[rank] >= d.guaranteed[rank]
}

// start moves one call of the rank from waiting to running, and reports
// whether it was the rank's turn.
func (d *demand) start(rank core.Rank) bool {
	d.waiting[rank]--
	if d.turnOf(rank) {
		d.turns[rank]--
		return true
	}
	d.running[rank]++
	return false
}
