package routing

import "github.com/snipestep/snipestep/core"

// rankSelector picks the rank to start next.
type rankSelector struct {
	waiting    [core.RankCount]int
	running    [core.RankCount]int // Excludes calls started from a deficit.
	guaranteed [core.RankCount]int
	deficits   [core.RankCount]float64
}

func (q *Queue) rankSelector() rankSelector {
	s := rankSelector{guaranteed: q.guaranteed, deficits: q.deficits}
	for rank := range core.RankCount {
		s.waiting[rank] = q.backlog.queues[rank].waiting
		s.running[rank] = q.runningByRank[rank] - q.runningFromDeficit[rank]
	}
	return s
}

// pick returns the rank to start next: a rank with no whole slot and a deficit
// to use, then the most urgent rank below its guarantee, then any rank with a
// deficit to use, then the most urgent rank.
func (s *rankSelector) pick() (core.Rank, bool) {
	for _, rank := range core.Ranks {
		if s.waiting[rank] > 0 && s.guaranteed[rank] == 0 && s.canUseDeficit(rank) {
			return rank, true
		}
	}
	for _, rank := range core.Ranks {
		if s.waiting[rank] > 0 && s.running[rank] < s.guaranteed[rank] {
			return rank, true
		}
	}
	for _, rank := range core.Ranks {
		if s.waiting[rank] > 0 && s.canUseDeficit(rank) {
			return rank, true
		}
	}
	for _, rank := range core.Ranks {
		if s.waiting[rank] > 0 {
			return rank, true
		}
	}
	return 0, false
}

// canUseDeficit reports whether the rank may start a call beyond its whole
// slots.
func (s *rankSelector) canUseDeficit(rank core.Rank) bool {
	return s.deficits[rank] >= 1 && s.running[rank] >= s.guaranteed[rank]
}

// start moves one call of the rank from waiting to running and reports
// whether the start used the rank's deficit.
func (s *rankSelector) start(rank core.Rank) bool {
	s.waiting[rank]--
	if s.canUseDeficit(rank) {
		s.deficits[rank]--
		return true
	}
	s.running[rank]++
	return false
}
