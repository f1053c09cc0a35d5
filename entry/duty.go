package entry

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/delay"
)

const (
	// dutyEntries is the number of entries that watch the configuration and
	// stand for the executor's lease, whatever the size of the fleet.
	dutyEntries   = 6
	dutyInterval  = time.Second
	offDutyReload = 30 * time.Second
)

// The duties that fall to a few entries.
const (
	dutyWatch    = "watch the configuration"
	dutyExecutor = "carry out the configuration"
)

// duty runs a task while it falls to this entry.
type duty struct {
	name   string
	routes *routes
	// task runs while on duty, until its context ends.
	task func(ctx context.Context)
	// idle runs now and then while off duty; it may be nil.
	idle func(ctx context.Context)
}

func (d *duty) mine() bool {
	return fleet.IsAssigned(d.routes.cfg.Instance.ID, d.routes.entries(), d.name, dutyEntries)
}

// run follows the view of the fleet until ctx ends.
func (d *duty) run(ctx context.Context) {
	for ctx.Err() == nil {
		if d.mine() {
			d.serve(ctx)
			continue
		}
		d.rest(ctx)
	}
}

// serve runs the task until the duty falls to others or ctx ends.
func (d *duty) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.task(ctx)
	}()
	for d.mine() && ctx.Err() == nil {
		delay.For(ctx, dutyInterval)
	}
	cancel()
	<-ended
}

// rest waits until the duty falls to this entry or ctx ends.
func (d *duty) rest(ctx context.Context) {
	next := time.Duration(0)
	for !d.mine() && ctx.Err() == nil {
		if next <= 0 && d.idle != nil {
			d.idle(ctx)
			next = offDutyReload
		}
		delay.For(ctx, dutyInterval)
		next -= dutyInterval
	}
}
