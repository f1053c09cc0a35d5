package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

// newTestController returns a controller without an engine and a running scheduler with
// one slot.
func newTestController(t *testing.T) *controller {
	t.Helper()
	s := newScheduler(routing.QueueConfig{Slots: 1}, time.Now)
	go s.run(t.Context())
	return &controller{
		sched:      s,
		state:      newEndpointState("m1", 1),
		fenceGuard: &fenceGuard{},
		reporter:   &reporter{trigger: make(chan struct{}, 1)},
		startTask:  func(task func(ctx context.Context)) { go task(t.Context()) },
	}
}

// runJob runs a resumable call at the scheduler, and returns the context that an
// interruption cancels.
func runJob(t *testing.T, c *controller) context.Context {
	t.Helper()
	job := newJob(1, "", &wire.CallRequest{Rank: uint32(core.RankNormal), MaxTokens: 1000, DeadlineMs: 3_600_000}, time.Now())
	c.sched.post(offerEvent{job: job})
	<-job.started
	ctx, cancel := context.WithCancelCause(t.Context())
	job.interrupt.begin(cancel)
	return ctx
}

func drainRequest(grace time.Duration) *wire.DrainOrder {
	return &wire.DrainOrder{StreamGraceMs: uint32(grace.Milliseconds()), Move: true}
}

// Guards against calls that are broken off at an endpoint in service: the grace period of a
// drain went on after the drain was undone.
func TestUndoneDrainInterruptsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 10 * time.Second
		c := newTestController(t)
		c.openIfServing()
		call := runJob(t, c)
		c.acceptDrain(drainRequest(grace))
		time.Sleep(grace / 2)
		c.acceptResume()
		time.Sleep(grace)
		synctest.Wait()
		assert.NilError(t, context.Cause(call))

		c.acceptDrain(drainRequest(grace))
		time.Sleep(grace - time.Millisecond)
		synctest.Wait()
		assert.NilError(t, context.Cause(call), "the second drain has a grace period of its own")
		time.Sleep(time.Millisecond)
		synctest.Wait()
		assert.Equal(t, context.Cause(call), errMoved)
	})
}
