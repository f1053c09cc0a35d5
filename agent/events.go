package agent

import (
	"errors"

	"github.com/snipestep/snipestep/routing"
)

// event is one input of the scheduler's loop.
type event interface {
	apply(s *scheduler)
}

// offerEvent submits a job to the queue.
type offerEvent struct {
	job *job
}

func (e offerEvent) apply(s *scheduler) {
	if !s.admits(e.job) {
		e.job.refused <- refusal{code: s.closeReason}
		return
	}
	if left := s.restLeft(); left > 0 && !e.job.continuation {
		e.job.refused <- refusal{code: CodeBusy, retryAfter: left}
		return
	}
	s.jobs[e.job.call.ID] = e.job
	evicted, err := s.queue.Offer(s.now(), e.job.call)
	for _, c := range evicted {
		s.refuse(c.ID, refusal{code: CodeBusy, retryAfter: s.retryAfter(c.Rank)})
	}
	if err == nil {
		return
	}
	r := refusal{code: CodeBusy, detail: err.Error()}
	var shed *routing.ShedError
	if errors.As(err, &shed) {
		r.retryAfter = shed.RetryAfter
	}
	s.refuse(e.job.call.ID, r)
}

// requeueEvent returns a preempted job to the queue.
type requeueEvent struct {
	job *job
	// generated is the number of tokens that the job has.
	generated int
}

func (e requeueEvent) apply(s *scheduler) {
	e.job.continuation = true
	remaining := max(1, e.job.call.ExpectedTokens-e.generated)
	if !s.queue.Requeue(s.now(), e.job.call.ID, remaining) {
		s.refuse(e.job.call.ID, refusal{code: CodeBusy})
	}
}

// tokensEvent records tokens that a running job generated.
type tokensEvent struct {
	id     uint64
	tokens int
}

func (e tokensEvent) apply(s *scheduler) {
	s.queue.RecordTokens(e.id, e.tokens)
}

// doneEvent ends a running job.
type doneEvent struct {
	id uint64
}

func (e doneEvent) apply(s *scheduler) {
	s.queue.Done(s.now(), e.id)
	delete(s.jobs, e.id)
}

// withdrawEvent removes a waiting or running job whose entry closed the stream.
type withdrawEvent struct {
	id uint64
}

func (e withdrawEvent) apply(s *scheduler) {
	if !s.queue.Remove(e.id) {
		s.queue.Done(s.now(), e.id)
	}
	delete(s.jobs, e.id)
}

// openEvent admits new calls.
type openEvent struct{}

func (openEvent) apply(s *scheduler) {
	s.closed = false
	s.drained = false
}

// closeEvent refuses new and waiting calls. Running calls continue, and so do
// waiting continuations, because after a version change there may be no other
// endpoint that serves their version. idle is closed once no job is left.
type closeEvent struct {
	reason string
	idle   chan struct{}
}

func (e closeEvent) apply(s *scheduler) {
	s.closed = true
	s.drained = false
	s.closeReason = e.reason
	s.refuseWaiting(refusal{code: e.reason})
	s.idleWaiters = append(s.idleWaiters, e.idle)
}

// interruptEvent interrupts every job that may be resumed elsewhere, running or
// waiting.
type interruptEvent struct {
	cause error
}

func (e interruptEvent) apply(s *scheduler) {
	for _, j := range s.jobs {
		if j.call.Resumable {
			j.interrupt.request(e.cause)
		}
	}
}

// policyEvent replaces the queue's policies: guaranteed shares and patience.
type policyEvent struct {
	policies routing.Policies
}

func (e policyEvent) apply(s *scheduler) {
	s.config.Policies = e.policies
	s.queue.SetConfig(s.config)
}
