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

// limitingService runs each call at once and announces a limit until a time.
type limitingService struct {
	perSecond float64
	until     time.Time
	calls     []time.Time
}

// Call implements endpoint.PlainService.
func (s *limitingService) Call(_ context.Context, request endpoint.PlainRequest) (endpoint.PlainResponse, error) {
	s.calls = append(s.calls, time.Now())
	request.OnNotice(endpoint.Notice{Own: true, Limited: time.Now().Before(s.until), PerSecond: s.perSecond})
	return endpoint.PlainResponse{Attempt: request.Attempt, Status: http.StatusOK}, nil
}

// Available implements endpoint.PlainService.
func (s *limitingService) Available(context.Context) bool { return true }

// Guards against an agent that sends its endpoint far more calls than the limit that it
// announced, under a flood; against one that leaves most of the limit unused; and against a
// limit that outlasts its end.
func TestAgentKeepsToTheLimitThatItsEndpointAnnounces(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2.6, 40} {
		synctest.Test(t, func(t *testing.T) {
			const limitedTime = 20 * time.Second
			start := time.Now()
			service := &limitingService{perSecond: perSecond, until: start.Add(limitedTime)}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			server := startPlainServer(ctx, service)
			sched := server.sched
			sawNoCredits := false
			for time.Since(start) < limitedTime {
				go server.runJob(ctx, nil, server.newJob(&wire.CallRequest{Service: "s", DeadlineMs: 1000}))
				time.Sleep(5 * time.Millisecond)
				sawNoCredits = sawNoCredits || *sched.credits.Load() == (creditSet{})
			}
			assert.Assert(t, sawNoCredits, "entries are told to send calls elsewhere")
			const window = 4 * time.Second
			for i, first := range service.calls {
				inWindow := 0
				for _, at := range service.calls[i:] {
					if at.Sub(first) < window {
						inWindow++
					}
				}
				assert.Assert(t, float64(inWindow) <= 1.5*perSecond*window.Seconds()+5, "%d calls in 4 s from %v on", inWindow, first.Sub(start))
			}
			assert.Assert(t, float64(len(service.calls)) >= 0.9*perSecond*limitedTime.Seconds()-1, "%d calls", len(service.calls))

			before := len(service.calls)
			for range 1000 {
				go server.runJob(ctx, nil, server.newJob(&wire.CallRequest{Service: "s", DeadlineMs: 1000}))
				time.Sleep(5 * time.Millisecond)
			}
			assert.Assert(t, len(service.calls)-before > 500, "%d calls after the end of the limit", len(service.calls)-before)
		})
	}
}

// Guards against a limit that ends with an answer of another request, one that was sent before
// the limit was announced, or one whose header cannot be read.
func TestOnlyALaterAnswerLiftsTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newScheduler(routing.QueueConfig{Slots: 1}, func() time.Time { return now })
	limitEvent{notice: endpoint.Notice{Limited: true, PerSecond: 3}, sentAt: now.Add(-time.Second)}.apply(s)
	for _, e := range []limitEvent{
		{notice: endpoint.Notice{}, sentAt: now.Add(time.Second)},
		{notice: endpoint.Notice{Own: true}, sentAt: now},
		{notice: endpoint.Notice{Own: true, LimitUnknown: true}, sentAt: now.Add(time.Second)},
	} {
		e.apply(s)
		assert.Equal(t, s.limit.perSecond, 3.0)
	}
	limitEvent{notice: endpoint.Notice{Own: true}, sentAt: now.Add(time.Second)}.apply(s)
	assert.Assert(t, !s.limit.isSet())
}
