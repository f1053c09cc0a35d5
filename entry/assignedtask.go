package entry

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/delay"
)

const (
	// assignedEntries is the number of entries that run each task, regardless
	// of the size of the fleet.
	assignedEntries          = 6
	assignmentCheckInterval  = time.Second
	unassignedReloadInterval = 30 * time.Second
)

// The tasks that only assignedEntries entries run. The assignment depends on
// these names, so all entries must use the same ones.
const (
	taskWatchConfiguration   = "watch the configuration"
	taskExecuteConfiguration = "carry out the configuration"
)

// assignedTask runs a task while it is assigned to this entry.
type assignedTask struct {
	name   string
	routes *routes
	// task runs while assigned, until its context ends.
	task func(ctx context.Context)
	// whileUnassigned runs every unassignedReloadInterval while other entries
	// are assigned; it may be nil.
	whileUnassigned func(ctx context.Context)
}

func (t *assignedTask) isAssigned() bool {
	return fleet.IsAssigned(t.routes.cfg.Instance.ID, t.routes.liveEntries(), t.name, assignedEntries)
}

// run follows the assignment until ctx ends.
func (t *assignedTask) run(ctx context.Context) {
	for ctx.Err() == nil {
		if t.isAssigned() {
			t.runWhileAssigned(ctx)
			continue
		}
		t.waitForAssignment(ctx)
	}
}

// runWhileAssigned runs the task until it is no longer assigned or ctx ends.
func (t *assignedTask) runWhileAssigned(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.task(ctx)
	}()
	for t.isAssigned() && ctx.Err() == nil {
		delay.For(ctx, assignmentCheckInterval)
	}
	cancel()
	<-ended
}

// waitForAssignment blocks until the task is assigned to this entry or ctx ends.
func (t *assignedTask) waitForAssignment(ctx context.Context) {
	untilReload := time.Duration(0)
	for !t.isAssigned() && ctx.Err() == nil {
		if untilReload <= 0 && t.whileUnassigned != nil {
			t.whileUnassigned(ctx)
			untilReload = unassignedReloadInterval
		}
		delay.For(ctx, assignmentCheckInterval)
		untilReload -= assignmentCheckInterval
	}
}
