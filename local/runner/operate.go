package runner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/local/scenario"
	"github.com/snipestep/snipestep/local/wait"
	"github.com/snipestep/snipestep/operator"
)

const (
	pollInterval = 50 * time.Millisecond
	startTimeout = 60 * time.Second
	// confirmTime is how long an intent is tried beyond an outage.
	confirmTime  = 10 * time.Second
	confirmPause = 250 * time.Millisecond
)

// ErrNotReady reports a fleet that did not come up in time.
var ErrNotReady = eris.New("the fleet did not become ready in time")

// actions are the operator's part of a run.
type actions struct {
	client  *operator.Client
	started time.Time
	// patience is how long an intent is tried again.
	patience time.Duration

	mu       sync.Mutex
	progress io.Writer
}

func newActions(f *fleetRun, progress io.Writer) *actions {
	urls := make([]string, len(f.httpAddrs))
	for i, addr := range f.httpAddrs {
		urls[i] = "http://" + addr
	}
	return &actions{
		client:   operator.NewClient(urls, operatorToken, nil),
		progress: progress,
		started:  time.Now(),
		patience: patience(f.scenario.Faults),
	}
}

// patience outlasts the outage of the key-value service, if there is one.
func patience(faults scenario.Faults) time.Duration {
	if !faults.HasStoreOutage() {
		return confirmTime
	}
	return faults.StoreDownFor + confirmTime
}

// say writes a progress line.
func (a *actions) say(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	a.mu.Lock()
	defer a.mu.Unlock()
	// A lost progress line changes nothing.
	_, _ = fmt.Fprintf(a.progress, "%7.2fs %s\n", time.Since(a.started).Seconds(), line)
}

// awaitAgents blocks until the entries know every agent.
func (a *actions) awaitAgents(ctx context.Context, agents int) error {
	return until(ctx, startTimeout, func() bool {
		status, err := a.client.Status(ctx)
		return err == nil && status.Generation > 0 && healthy(status) >= agents
	})
}

func healthy(status operator.Status) int {
	count := 0
	for _, agent := range status.Agents {
		if agent.Healthy {
			count++
		}
	}
	return count
}

// carryOut proposes an intent and confirms its plan. A premise that moved, and
// a service that is away, are tried again with a new plan, as an operator
// would.
func (a *actions) carryOut(ctx context.Context, in intent.Intent) (*intent.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, a.patience)
	defer cancel()
	var last error
	for {
		plan, err := a.client.Propose(ctx, in)
		if err == nil {
			_, err = a.client.Confirm(ctx, plan.ID)
		}
		if err == nil {
			return plan, nil
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if !wait.For(ctx, confirmPause) {
			return nil, eris.Wrap(last, "carry out an intent")
		}
		a.say("intent is tried again: %v", err)
	}
}

// push places a version at every engine.
func (a *actions) push(ctx context.Context, model core.ModelRef) error {
	_, err := a.carryOut(ctx, intent.Intent{Place: &intent.Place{Model: core.ModelRef{Model: model.Model, Version: model.Version}}})
	return err
}

// stop takes a number of engines out of service and returns them.
func (a *actions) stop(ctx context.Context, count int, grace time.Duration) ([]core.InstanceID, error) {
	plan, err := a.carryOut(ctx, intent.Intent{Stop: &intent.Stop{
		Selector:      intent.Selector{Role: core.RoleModel, Count: count},
		StreamGraceMS: grace.Milliseconds(),
		Move:          true,
		AcceptLess:    true,
	}})
	if err != nil {
		return nil, err
	}
	return stoppedBy(plan.Next), nil
}

func stoppedBy(document *fleet.Document) []core.InstanceID {
	var ids []core.InstanceID
	for _, stop := range document.Stops {
		ids = append(ids, stop.Instances...)
	}
	return ids
}

// until polls until a condition holds. It returns ErrNotReady after the
// timeout or when ctx ends.
func until(ctx context.Context, timeout time.Duration, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !holds() {
		if !wait.For(ctx, pollInterval) {
			return ErrNotReady
		}
	}
	return nil
}
