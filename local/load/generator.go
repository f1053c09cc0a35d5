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

// Generator sends the calls of a scenario.
type Generator struct {
	config   Config
	client   *client
	recorder *recorder
}

// New returns a generator that sends nothing yet.
func New(config Config) *Generator {
	return &Generator{
		config:   config,
		client:   newClient(config),
		recorder: newRecorder(config),
	}
}

// Run sends every call at its time and blocks until all have ended, at most
// 30 s after the last one. Calls that end by then, by ctx or because too many
// are in flight count as failed.
func (g *Generator) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.client.close()
	var calls sync.WaitGroup
	g.send(ctx, &calls)
	drain := time.AfterFunc(drainTimeout, cancel)
	defer drain.Stop()
	calls.Wait()
}

// send starts the calls of the schedule, each in a goroutine of its own, and
// blocks until the end of the load.
func (g *Generator) send(ctx context.Context, calls *sync.WaitGroup) {
	start := time.Now()
	schedule := NewSchedule(g.config.Scenario)
	slots := make(chan struct{}, maxInFlight)
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
		case slots <- struct{}{}:
			calls.Go(func() {
				defer func() { <-slots }()
				caller.run(ctx, &arrival, due)
			})
		default:
			g.recorder.lost(&arrival, due)
		}
	}
}

// Fill writes what the callers saw into the report. Call it after Run, while
// the oracle still answers.
func (g *Generator) Fill(into *report.Report) {
	g.recorder.fill(into)
}
