package agent

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

// finalEventTimeout limits the wait for the entry to read the final event.
const finalEventTimeout = time.Second

// callServer serves the call streams of entries: it queues each attempt,
// runs it at the endpoint and sends its events.
type callServer struct {
	sched       *scheduler
	runner      runner
	tracer      trace.Tracer
	now         clock
	bootNow     clock // Counts suspensions of the machine.
	policy      string
	counters    *counters
	answers     *heldbytes.Budget
	pauses      *pauseDetector
	logger      *slog.Logger
	activeCalls activeCalls
	lastJobID   atomic.Uint64
}

// serve runs one attempt to its end. It blocks until the final event is sent
// or the entry closes the stream.
func (c *callServer) serve(ctx context.Context, session *wire.Session, stream *wire.Stream, header *wire.StreamHeader) {
	c.activeCalls.begin()
	defer c.activeCalls.end()
	req := header.GetCall()
	if c.endedInPause(session, stream) {
		c.logger.Info("call ended while the agent was paused", "attempt", req.GetAttempt(), "entry", string(session.Peer))
		return
	}
	ctx = telemetry.Extract(ctx, header.GetTraceparent())
	ctx, span := c.tracer.Start(ctx, "agent.call", trace.WithAttributes(
		attribute.String("attempt", req.GetAttempt()),
		attribute.Int64("rank", int64(req.GetRank())),
	))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go cancelOnClose(stream, cancel)
	j := c.newJob(req)
	j.held = c.answers.Hold(ctx, answerOwner, cancel)
	defer j.release()
	finalEvent := c.runJob(ctx, stream, j)
	if finalEvent != nil && sendFinal(ctx, stream, j, finalEvent) == nil {
		waitForClose(ctx)
	}
}

// endedInPause reports whether the entry has closed the stream of a call that arrived while the process was
// paused: the call is read first, and would reach the endpoint before its end is read.
func (c *callServer) endedInPause(session *wire.Session, stream *wire.Stream) bool {
	return c.pauses.pausedLately() && (session.CatchUp() != nil || stream.Ended())
}

// answerOwner is the owner of all answers: an agent has one endpoint.
const answerOwner = "endpoint"

// sendFinal sends the final event and ends the count of the answer. It ends once the entry closes the
// stream, also while the entry reads nothing.
func sendFinal(ctx context.Context, stream *wire.Stream, j *job, finalEvent *wire.CallEvent) error {
	defer j.release()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), errCallStreamClosed) {
			_ = stream.SetDeadline(time.Unix(1, 0))
		}
	})
	defer stop()
	return stream.Send(withRoom(j, finalEvent))
}

// withRoom takes room for the encoded copy of a final event. Without room, the event is replaced by
// one that says that the answer is lost, or that the call moves without its KV cache.
func withRoom(j *job, finalEvent *wire.CallEvent) *wire.CallEvent {
	if body := finalEvent.GetDone().GetBody(); len(body) > 0 {
		if j.held.Finish() != nil || j.held.AddBytes(len(body)) != nil {
			return callNoRoomEvent(j)
		}
		return finalEvent
	}
	j.held.Release()
	handle := finalEvent.GetBroken().GetKvHandle()
	if j.exported.AddBytes(len(handle)) != nil {
		finalEvent.GetBroken().KvHandle = ""
	}
	return finalEvent
}

// newJob returns the job of an attempt that has just arrived.
func (c *callServer) newJob(req *wire.CallRequest) *job {
	j := newJob(c.lastJobID.Add(1), c.policy, req, c.now())
	j.expiresAt = c.bootNow().Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond)
	return j
}

// waitForClose blocks until the entry has read the final event and closed the
// stream, for at most finalEventTimeout: a session that ends earlier could lose
// the event.
func waitForClose(ctx context.Context) {
	timer := time.NewTimer(finalEventTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// cancelOnClose interrupts the call once the entry closes the stream.
func cancelOnClose(stream *wire.Stream, cancel context.CancelCauseFunc) {
	var ignored wire.CallEvent
	_ = stream.Recv(&ignored)
	cancel(errCallStreamClosed)
}

// runJob queues and runs the job until it ends or is refused, and returns its
// final event. It returns nil if the entry closed the stream.
func (c *callServer) runJob(ctx context.Context, stream *wire.Stream, j *job) *wire.CallEvent {
	c.sched.post(offerEvent{job: j})
	for {
		if finalEvent, done := c.waitForSlot(ctx, j); done {
			return finalEvent
		}
		if !c.bootNow().Before(j.expiresAt) {
			// The process may have been paused, or the machine suspended, since the job
			// was queued.
			c.sched.post(doneEvent{id: j.call.ID})
			return callRefusedEvent(j, refusal{code: CodePatienceExceeded})
		}
		finalEvent, err := c.runAtEndpoint(ctx, stream, j)
		if errors.Is(err, errPreempted) {
			c.counters.preemptions.Add(1)
			c.sched.post(requeueEvent{job: j, generated: len(j.generated)})
			continue
		}
		c.sched.post(doneEvent{id: j.call.ID})
		if errors.Is(err, errCallStreamClosed) {
			return nil
		}
		return finalEvent
	}
}

// waitForSlot blocks until the job may start. If done is set, it will not start;
// finalEvent is nil if the entry closed the stream.
func (c *callServer) waitForSlot(ctx context.Context, j *job) (finalEvent *wire.CallEvent, done bool) {
	select {
	case <-j.started:
		return nil, false
	case r := <-j.refused:
		return callRefusedEvent(j, r), true
	case <-ctx.Done():
		c.sched.post(withdrawEvent{id: j.call.ID})
		if errors.Is(context.Cause(ctx), heldbytes.ErrNoRoom) {
			return callNoRoomEvent(j), true
		}
		return nil, true
	case <-c.sched.done:
		return callRefusedEvent(j, refusal{code: CodeDraining}), true
	}
}

// runAtEndpoint runs the job at the endpoint until it ends or is interrupted.
// After an interruption other than a move, the error is its cause.
func (c *callServer) runAtEndpoint(ctx context.Context, stream *wire.Stream, j *job) (*wire.CallEvent, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.interrupt.begin(cancel)
	defer j.interrupt.end()
	ctx, span := c.tracer.Start(ctx, "endpoint.call")
	defer span.End()
	finalEvent := c.runner.run(ctx, j, stream.Send)
	if finalEvent.GetDone() == nil && errors.Is(context.Cause(ctx), heldbytes.ErrNoRoom) {
		finalEvent = callNoRoomEvent(j)
	}
	c.counters.recordEnd(finalEvent)
	if finalEvent.GetDone() != nil {
		return finalEvent, nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errMoved) {
		return finalEvent, nil
	}
	return finalEvent, cause
}
