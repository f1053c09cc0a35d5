package agent

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/routing"
)

// startPlainServer returns a server of calls to a plain service with four slots. Its scheduler
// runs until ctx ends.
func startPlainServer(ctx context.Context, service endpoint.PlainService) *callServer {
	sched := newScheduler(routing.QueueConfig{Slots: 4, MaxWaiting: 4}, time.Now)
	go sched.run(ctx)
	sched.post(openEvent{})
	runner := &plainRunner{service: "s", client: service, state: newEndpointState("a", 1), sched: sched, counters: &counters{}}
	return &callServer{
		sched: sched, runner: runner, tracer: noop.NewTracerProvider().Tracer(""), counters: &counters{}, now: time.Now, bootNow: time.Now,
	}
}
