package agent

import (
	"errors"

	"github.com/snipestep/snipestep/routing"
)

// event is one input of the scheduler's loop.
type event interface {
	apply(s *scheduler)
}

// offerEvent asks for a slot.
type offerEvent struct {
	job *job
}

func (e offerEvent) apply(s *scheduler) {
	if !s.admits(e.job) {
		e.job.refused <- refusal{code: s.reason}
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
}

func (e requeueEvent) apply(s *scheduler) {
	e.job.owed = true
	left := max(1, e.job.call.ExpectedTokens-len(e.job.produced))
	if !s.queue.Requeue(s.now(), e.job.call.ID, left) {
		s.refuse(e.job.call.ID, refusal{code: CodeBusy})
	}
}

// usedEvent accounts tokens to a running job.
type usedEvent struct {
	id     uint64
	tokens int
}

func (e usedEvent) apply(s *scheduler) {
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

// withdrawEvent removes a job whose caller is gone, waiting or running.
type withdrawEvent struct {
	id uint64
}

func (e withdrawEvent) apply(s *scheduler) {
	if !s.queue.Remove(e.id) {
		s.queue.Done(s.now(), e.id)
	}
	delete(s.jobs, e.id)
}

// openEvent lets new calls in.
type openEvent struct{}

func (openEvent) apply(s *scheduler) {
	s.closed = false
	s.sealed = false
}

// closeEvent refuses new and waiting calls. Running calls go on, and so do
// waiting ones whose caller has a part of the answer: after a change of
// version no other endpoint might serve theirs. idle is closed once none is
// left.
type closeEvent struct {
	reason string
	idle   chan struct{}
}

func (e closeEvent) apply(s *scheduler) {
	s.closed = true
	s.sealed = false
	s.reason = e.reason
	running := make(map[uint64]bool)
	for _, c := range s.queue.Running() {
		running[c.ID] = true
	}
	for id, j := range s.jobs {
		if !running[id] && !j.owed && s.queue.Remove(id) {
			s.refuse(id, refusal{code: e.reason})
		}
	}
	s.idle = append(s.idle, e.idle)
}

// interruptEvent stops every job that may be resumed elsewhere, running or
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

// policyEvent changes shares and patience.
type policyEvent struct {
	policies routing.Policies
}

func (e policyEvent) apply(s *scheduler) {
	s.config.Policies = e.policies
	s.queue.SetConfig(s.config)
}
