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
	// baseRetryTimeout is how long an intent is retried in addition to an outage.
	baseRetryTimeout = 10 * time.Second
	retryInterval    = 250 * time.Millisecond
)

// ErrNotReady means that the fleet did not become ready in time.
var ErrNotReady = eris.New("the fleet did not become ready in time")

// operatorActions performs what an operator does in a run, and prints progress.
type operatorActions struct {
	client    *operator.Client
	startedAt time.Time
	// retryTimeout is how long an intent is retried.
	retryTimeout time.Duration

	mu       sync.Mutex
	progress io.Writer
}

func newOperatorActions(f *runningFleet, progress io.Writer) *operatorActions {
	urls := make([]string, len(f.entryAddrs))
	for i, addr := range f.entryAddrs {
		urls[i] = "http://" + addr
	}
	return &operatorActions{
		client:       operator.NewClient(urls, operatorToken, nil),
		progress:     progress,
		startedAt:    time.Now(),
		retryTimeout: retryTimeout(f.scenario.Faults),
	}
}

// retryTimeout returns how long an intent is retried. It outlasts the outage of
// the key-value service, if there is one.
func retryTimeout(faults scenario.Faults) time.Duration {
	if !faults.HasStoreOutage() {
		return baseRetryTimeout
	}
	return faults.StoreDownFor + baseRetryTimeout
}

// printProgress writes a progress line.
func (a *operatorActions) printProgress(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	a.mu.Lock()
	defer a.mu.Unlock()
	// Progress is best effort.
	_, _ = fmt.Fprintf(a.progress, "%7.2fs %s\n", time.Since(a.startedAt).Seconds(), line)
}

// awaitAgents blocks until the entries report the agents as healthy.
func (a *operatorActions) awaitAgents(ctx context.Context, agents int) error {
	return waitUntil(ctx, startTimeout, func() bool {
		status, err := a.client.Status(ctx)
		return err == nil && status.Generation > 0 && countHealthy(status) >= agents
	})
}

func countHealthy(status operator.Status) int {
	count := 0
	for _, agent := range status.Agents {
		if agent.Healthy {
			count++
		}
	}
	return count
}

// applyIntent proposes an intent and confirms its plan. Like an operator, it
// retries with a new plan if the state has changed since the proposal or a service
// is unavailable.
func (a *operatorActions) applyIntent(ctx context.Context, in intent.Intent) (*intent.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, a.retryTimeout)
	defer cancel()
	var lastErr error
	for {
		plan, err := a.client.Propose(ctx, in)
		if err == nil {
			_, err = a.client.Confirm(ctx, plan.ID)
		}
		if err == nil {
			return plan, nil
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		if !wait.For(ctx, retryInterval) {
			return nil, eris.Wrap(lastErr, "apply an intent")
		}
		a.printProgress("retrying the intent: %v", err)
	}
}

// pushModel places a version on every engine.
func (a *operatorActions) pushModel(ctx context.Context, ref core.ModelRef) error {
	_, err := a.applyIntent(ctx, intent.Intent{Place: &intent.Place{Model: core.ModelRef{Model: ref.Model, Version: ref.Version}}})
	return err
}

// stopEngines takes count engines out of service and returns their IDs.
func (a *operatorActions) stopEngines(ctx context.Context, count int, grace time.Duration) ([]core.InstanceID, error) {
	plan, err := a.applyIntent(ctx, intent.Intent{Stop: &intent.Stop{
		Selector:      intent.Selector{Role: core.RoleModel, Count: count},
		StreamGraceMS: grace.Milliseconds(),
		Move:          true,
		AcceptLess:    true,
	}})
	if err != nil {
		return nil, err
	}
	return stoppedInstances(plan.Next), nil
}

func stoppedInstances(document *fleet.Document) []core.InstanceID {
	var ids []core.InstanceID
	for _, stop := range document.Stops {
		ids = append(ids, stop.Instances...)
	}
	return ids
}

// waitUntil polls until a condition holds. It returns ErrNotReady after the timeout
// or when ctx ends.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		if !wait.For(ctx, pollInterval) {
			return ErrNotReady
		}
	}
	return nil
}
