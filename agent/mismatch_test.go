package agent

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

// Guards against a call that is refused as not run, or counts as the cause of a crash, because
// the endpoint wrote the refusal of another call once more; and against the pause in such a
// refusal being lost.
func TestRefusalOfAnotherCallLeavesTheOutcomeUnknown(t *testing.T) {
	type failing interface {
		failureEvent(*testing.T, *scheduler, *job, error) *wire.CallEvent
	}
	for name, runner := range map[string]failing{"engine": failingEngine{}, "plain service": failingService{}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched := newScheduler(routing.QueueConfig{Slots: 4, MaxWaiting: 4}, time.Now)
				go sched.run(t.Context())
				sched.post(openEvent{})
				synctest.Wait()
				j := newJob(1, "", &wire.CallRequest{DeadlineMs: 1000}, time.Now())
				foreign := &endpoint.AttemptMismatchError{Attempt: "a", Got: "b", Status: http.StatusServiceUnavailable, RetryAfterMS: 1000}
				event := runner.failureEvent(t, sched, j, foreign)
				assert.Equal(t, event.GetBroken().GetCode(), CodeOutcomeUnknown)
				assert.Assert(t, j.mayHaveStarted)
				time.Sleep(time.Millisecond)
				assert.Assert(t, *sched.credits.Load() == (creditSet{}), "the endpoint rests")
			})
		})
	}
}

type failingEngine struct{}

func (failingEngine) failureEvent(t *testing.T, sched *scheduler, j *job, err error) *wire.CallEvent {
	state := newEndpointState("a", 1)
	runner := &modelRunner{state: state, sched: sched, counters: &counters{}}
	return runner.failureEvent(t.Context(), j, err)
}

type failingService struct{}

func (failingService) failureEvent(t *testing.T, sched *scheduler, j *job, err error) *wire.CallEvent {
	runner := &plainRunner{state: newEndpointState("a", 1), sched: sched, counters: &counters{}}
	return runner.failureEvent(t.Context(), j, err)
}
