package agent

import "github.com/snipestep/snipestep/core"

// creditSet is the number of calls of each rank that one entry may send.
type creditSet struct {
	byRank [core.RankCount]int
}
