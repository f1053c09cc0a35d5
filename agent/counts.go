package agent

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/wire"
)

// counts are what the agent counts on the path of calls and datagrams.
type counts struct {
	dropped    atomic.Int64 // Late or crossed answers.
	preempted  atomic.Int64
	notStarted atomic.Int64
	crashed    atomic.Int64
	unknown    atomic.Int64
	old        atomic.Int64 // Old datagrams.
}

// ended counts the fault with which a run at the endpoint ended, if any.
func (c *counts) ended(end *wire.CallEvent) {
	switch {
	case end.GetRefused().GetCode() == CodeNotStarted:
		c.notStarted.Add(1)
	case end.GetBroken().GetCode() == CodeCrash:
		c.crashed.Add(1)
	case end.GetBroken().GetCode() == CodeUnknown:
		c.unknown.Add(1)
	}
}
