package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

// finalReadTimeout bounds the wait for the entry to read a final event.

const finalReadTimeout = time.Second

// callServer serves the call streams of entries: it queues each attempt,
// runs it at the endpoint and sends its events.
type callServer struct {
	sched  *scheduler
	runner runner
	tracer trace.Tracer
	now    clock
	policy string
	counts *counts
	active activeCalls
	ids    atomic.Uint64
}

// serve runs one attempt to its end. It blocks until the final event is sent
// or the entry closes the stream.
func (c *callServer) serve(ctx context.Context, st *wire.Stream, h *wire.StreamHeader) {
	c.active.begin()
	defer c.active.end()
	req := h.GetCall()
	ctx = telemetry.Extract(ctx, h.GetTraceparent())
	ctx, span := c.tracer.Start(ctx, "agent.call", trace.WithAttributes(
		attribute.String("attempt", req.GetAttempt()),
		attribute.Int64("rank", int64(req.GetRank())),
	))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go watchCaller(st, cancel)
	j := newJob(c.ids.Add(1), c.policy, req, c.now())
	end := c.attempt(ctx, st, j)
	if end != nil && st.Send(end) == nil {
		awaitRead(ctx)
	}
}

// awaitRead blocks until the entry has read the final event and closed the
// stream, for at most finalReadTimeout: a session that ends earlier could lose
// the event.
func awaitRead(ctx context.Context) {
	timer := time.NewTimer(finalReadTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// watchCaller interrupts the call once the entry closes the stream.
func watchCaller(st *wire.Stream, cancel context.CancelCauseFunc) {
	var none wire.CallEvent
	_ = st.Recv(&none)
	cancel(errCallerGone)
}

// attempt queues and runs the job until it ends, is refused or its caller is
// gone; then it returns nil.
func (c *callServer) attempt(ctx context.Context, st *wire.Stream, j *job) *wire.CallEvent {
	c.sched.post(offerEvent{job: j})
	for {
		if end, done := c.await(ctx, j); done {
			return end
		}
		if !c.now().Before(j.call.Deadline) {
			// The process may have been paused since the job was queued.
			c.sched.post(doneEvent{id: j.call.ID})
			return refusedEvent(j, refusal{code: CodePatience})
		}
		end, err := c.runOnce(ctx, st, j)
		if errors.Is(err, errPreempted) {
			c.counts.preempted.Add(1)
			c.sched.post(requeueEvent{job: j})
			continue
		}
		c.sched.post(doneEvent{id: j.call.ID})
		if errors.Is(err, errCallerGone) {
			return nil
		}
		return end
	}
}

// await blocks until the job may start; done says that it never will.
func (c *callServer) await(ctx context.Context, j *job) (end *wire.CallEvent, done bool) {
	select {
	case <-j.started:
		return nil, false
	case r := <-j.refused:
		return refusedEvent(j, r), true
	case <-ctx.Done():
		c.sched.post(withdrawEvent{id: j.call.ID})
		return nil, true
	case <-c.sched.done:
		return refusedEvent(j, refusal{code: CodeDraining}), true
	}
}

// runOnce runs the job at the endpoint until it ends or is interrupted; the
// cause of an interruption is the error.
func (c *callServer) runOnce(ctx context.Context, st *wire.Stream, j *job) (*wire.CallEvent, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.interrupt.begin(cancel)
	defer j.interrupt.end()
	ctx, span := c.tracer.Start(ctx, "endpoint.call")
	defer span.End()
	end := c.runner.run(ctx, j, st.Send)
	c.counts.ended(end)
	if end.GetDone() != nil {
		return end, nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errMoved) {
		return end, nil
	}
	return end, cause
}
