package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/bootclock"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

// blockingRunner runs jobs until release is closed.
type blockingRunner struct {
	started chan string
	release chan struct{}
}

func (r *blockingRunner) run(_ context.Context, j *job, _ sendFunc) *wire.CallEvent {
	r.started <- j.req.GetAttempt()
	<-r.release
	return callDoneEvent(j, &wire.CallDone{})
}

// A call that was queued while the machine was suspended past the call's deadline ran
// afterwards, long after its caller had been told that it failed.
func TestCallThatExpiredDuringASuspensionDoesNotRun(t *testing.T) {
	const deadline = 5 * time.Second
	var suspended atomic.Int64
	runner := &blockingRunner{started: make(chan string, 2), release: make(chan struct{})}
	sched := newScheduler(routing.QueueConfig{Slots: 1, MaxWaiting: 4}, time.Now)
	go sched.run(t.Context())
	sched.post(openEvent{})
	server := &callServer{
		sched: sched, runner: runner, tracer: noop.NewTracerProvider().Tracer(""), counters: &counters{},
		now:     time.Now,
		bootNow: func() time.Time { return bootclock.Now().Add(time.Duration(suspended.Load())) },
	}
	final := make(map[string]chan *wire.CallEvent)
	serve := func(attempt string) {
		ended := make(chan *wire.CallEvent, 1)
		final[attempt] = ended
		j := server.newJob(&wire.CallRequest{Attempt: attempt, DeadlineMs: uint32(deadline.Milliseconds())})
		go func() { ended <- server.runJob(t.Context(), nil, j) }()
	}
	serve("running")
	assert.Equal(t, <-runner.started, "running")
	serve("queued")

	suspended.Store(int64(deadline))
	close(runner.release)

	assert.Assert(t, (<-final["running"]).GetDone() != nil)
	refused := (<-final["queued"]).GetRefused()
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.GetCode(), CodePatienceExceeded)
	assert.Equal(t, refused.GetRun(), wire.Run_RUN_NOT_RUN)
	assert.Equal(t, len(runner.started), 0)
}
