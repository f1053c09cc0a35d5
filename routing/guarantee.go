package routing

import "github.com/snipestep/snipestep/core"

// guaranteedSlots rounds the ranks' shares to whole slots. Each rank with a
// share gets at least one slot while there are enough, the most urgent rank
// always gets one, and the sum is at most slots.
func guaranteedSlots(policies Policies, slots int) [core.RankCount]int {
	var guaranteed [core.RankCount]int
	left := slots
	for rank, p := range policies {
		wanted := core.Rank(rank) == core.RankUrgent || p.GuaranteedShare > 0
		if wanted && left > 0 {
			guaranteed[rank] = 1
			left--
		}
	}
	for left > 0 {
		rank, ok := mostShort(policies, guaranteed, slots)
		if !ok {
			break
		}
		guaranteed[rank]++
		left--
	}
	return guaranteed
}

// mostShort returns the rank whose whole slots are furthest below its share,
// by at least half a slot.
func mostShort(policies Policies, guaranteed [core.RankCount]int, slots int) (int, bool) {
	const halfSlot = 0.5
	found := -1
	most := 0.0
	for rank, p := range policies {
		short := p.GuaranteedShare*float64(slots) - float64(guaranteed[rank])
		if short >= halfSlot && short > most {
			found = rank
			most = short
		}
	}
	return found, found >= 0
}
