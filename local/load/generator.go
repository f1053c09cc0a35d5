package load

import (
	"context"
	"sync"
	"time"

	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/wait"
)

const (
	maxInFlight  = 20_000
	drainTimeout = 30 * time.Second
)

// Generator sends the calls of a scenario and checks the responses.
type Generator struct {
	config   Config
	client   *client
	recorder *recorder
}

// New returns a generator that has not started.
func New(config Config) *Generator {
	return &Generator{
		config:   config,
		client:   newClient(config),
		recorder: newRecorder(config),
	}
}

// Run sends every call at its time and blocks until all have ended, at most
// 30 s after the end of the load. Calls that are cut off then, cancelled by ctx or
// not sent because too many are in flight count as failed.
func (g *Generator) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.client.close()
	var calls sync.WaitGroup
	g.dispatch(ctx, &calls)
	drainTimer := time.AfterFunc(drainTimeout, cancel)
	defer drainTimer.Stop()
	calls.Wait()
}

// dispatch starts each call of the schedule in a goroutine of its own and blocks
// until the end of the load.
func (g *Generator) dispatch(ctx context.Context, calls *sync.WaitGroup) {
	start := time.Now()
	schedule := NewSchedule(g.config.Scenario)
	inFlight := make(chan struct{}, maxInFlight)
	caller := &caller{client: g.client, recorder: g.recorder}
	for {
		arrival, ok := schedule.Next()
		if !ok {
			wait.For(ctx, time.Until(start.Add(g.config.Scenario.Load.Duration)))
			return
		}
		due := start.Add(arrival.At)
		if !wait.For(ctx, time.Until(due)) {
			return
		}
		select {
		case inFlight <- struct{}{}:
			calls.Go(func() {
				defer func() { <-inFlight }()
				caller.send(ctx, &arrival, due)
			})
		default:
			g.recorder.recordUnsent(&arrival, due)
		}
	}
}

// Fill writes the results of all calls into the report. Call it after Run, while
// the oracle is still available.
func (g *Generator) Fill(into *report.Report) {
	g.recorder.fill(into)
}
