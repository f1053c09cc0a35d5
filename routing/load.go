package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Load is the queue state that an agent reports.
type Load struct {
	Slots int
	// Running and Waiting count calls by rank, most urgent first.
	Running [core.RankCount]int
	Waiting [core.RankCount]int
	// MeanServiceTime is the mean time that one call occupies a slot.
	MeanServiceTime time.Duration
}
