package routing

import "github.com/snipestep/snipestep/core"

// shareTolerance absorbs floating-point error in shares such as 3/7.
const shareTolerance = 1e-9

// guaranteedSlots returns the whole slots of each rank's share. Each rank with
// a share gets at least one slot while there are enough, the most urgent rank
// always gets one, and the sum is at most slots.
func guaranteedSlots(policies Policies, slots int) [core.RankCount]int {
	var guaranteed [core.RankCount]int
	unreserved := slots
	for rank, p := range policies {
		needsSlot := core.Rank(rank) == core.RankUrgent || p.GuaranteedShare > 0
		if needsSlot && unreserved > 0 {
			guaranteed[rank] = 1
			unreserved--
		}
	}
	for rank, p := range policies {
		wholeSlots := int(p.GuaranteedShare*float64(slots) + shareTolerance)
		extra := min(max(wholeSlots-guaranteed[rank], 0), unreserved)
		guaranteed[rank] += extra
		unreserved -= extra
	}
	return guaranteed
}
