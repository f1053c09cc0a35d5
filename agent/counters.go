package agent

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/wire"
)

// counters counts events on the path of calls and datagrams.
type counters struct {
	misdelivered    atomic.Int64 // Answers and events of another attempt.
	preemptions     atomic.Int64
	notStarted      atomic.Int64
	crashes         atomic.Int64
	unknownOutcomes atomic.Int64
	noRoom          atomic.Int64 // Answers that were given up on.
	staleDatagrams  atomic.Int64
}

// recordEnd counts the fault with which a run at the endpoint ended, if any.
func (c *counters) recordEnd(finalEvent *wire.CallEvent) {
	switch {
	case finalEvent.GetRefused().GetCode() == CodeNotStarted:
		c.notStarted.Add(1)
	case finalEvent.GetBroken().GetCode() == CodeCrash:
		c.crashes.Add(1)
	case finalEvent.GetBroken().GetCode() == CodeOutcomeUnknown:
		c.unknownOutcomes.Add(1)
	case finalEvent.GetBroken().GetCode() == CodeNoRoom:
		c.noRoom.Add(1)
	}
}
