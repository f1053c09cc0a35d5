package agent

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

// restingService turns calls away for some time and asks for a pause each time.
type restingService struct {
	until time.Time
	pause time.Duration
	calls []time.Time
}

// Call implements endpoint.PlainService.
func (s *restingService) Call(_ context.Context, request endpoint.PlainRequest) (endpoint.PlainResponse, error) {
	s.calls = append(s.calls, time.Now())
	if time.Now().Before(s.until) {
		return endpoint.PlainResponse{}, &endpoint.NotStartedError{Attempt: request.Attempt, Status: http.StatusServiceUnavailable, RetryAfterMS: s.pause.Milliseconds()}
	}
	return endpoint.PlainResponse{Attempt: request.Attempt, Status: http.StatusOK}, nil
}

// Available implements endpoint.PlainService.
func (s *restingService) Available(context.Context) bool { return true }

// Guards against an agent that keeps sending calls to an endpoint that has asked for a pause.
func TestAgentSendsNothingForThePauseThatItsEndpointAsksFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 3 * time.Second
		start := time.Now()
		service := &restingService{until: start.Add(time.Second), pause: pause}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		server := startPlainServer(ctx, service)
		sched := server.sched
		var last *wire.CallEvent
		for time.Since(start) < 8*time.Second {
			j := server.newJob(&wire.CallRequest{Service: "s", DeadlineMs: 1000})
			last = server.runJob(ctx, nil, j)
			if since := time.Since(start); since > 0 && since < pause {
				assert.Equal(t, last.GetRefused().GetCode(), CodeBusy)
				left := time.Duration(last.GetRefused().GetRetryAfterMs()) * time.Millisecond
				assert.Equal(t, left, pause-since)
				assert.DeepEqual(t, sched.credits.Load().byRank, creditSet{}.byRank)
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, service.calls[1].Sub(start), pause)
		assert.Check(t, len(service.calls) > 80, "%d calls", len(service.calls))
		assert.Assert(t, last.GetDone() != nil)
	})
}

// Guards against an engine that keeps getting calls in the pause that it asked for.
func TestPauseOfAnEngineStopsItsCredits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 3 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sched := newScheduler(routing.QueueConfig{Slots: 4, MaxWaiting: 4}, time.Now)
		go sched.run(ctx)
		sched.post(openEvent{})
		synctest.Wait()
		assert.Assert(t, *sched.credits.Load() != (creditSet{}))
		runner := &modelRunner{state: newEndpointState("a", 1), sched: sched, counters: &counters{}}
		j := newJob(1, "", &wire.CallRequest{DeadlineMs: 1000}, time.Now())
		turnedAway := &endpoint.NotStartedError{Status: http.StatusServiceUnavailable, RetryAfterMS: pause.Milliseconds()}
		runner.failureEvent(ctx, j, turnedAway)
		time.Sleep(pause - time.Millisecond)
		assert.Assert(t, *sched.credits.Load() == (creditSet{}))
		time.Sleep(idleTickInterval)
		assert.Assert(t, *sched.credits.Load() != (creditSet{}))
	})
}
