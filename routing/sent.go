package routing

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// Sent counts the calls that this entry has sent to an endpoint since its
// last load report, by rank. It is safe for concurrent use.
type Sent struct {
	calls [core.RankCount]atomic.Int32
}

func (s *Sent) total() int {
	total := 0
	for rank := range s.calls {
		total += int(s.calls[rank].Load())
	}
	return total
}
