package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

const (
	schedulerTick   = 10 * time.Millisecond
	schedulerIdle   = time.Second
	schedulerEvents = 1024
)

// scheduler is the event loop that owns the queue of one endpoint. Everything
// else talks to it through post.
type scheduler struct {
	now    func() time.Time
	queue  *routing.Queue
	events chan event
	done   chan struct{}

	// Owned by the loop.
	config routing.QueueConfig
	jobs   map[uint64]*job
	closed bool // No new calls.
	reason string
	// sealed says that the last call has ended after the scheduler closed;
	// from then on the endpoint may be changed, and nothing is let in.
	sealed bool
	idle   []chan struct{} // Closed once nothing is queued or running.

	load atomic.Pointer[routing.Load]
	// credits are the calls that each of creditPeers entries may send.
	creditPeers atomic.Int32
	credits     atomic.Pointer[creditSet]
	changed     chan struct{} // Signals a change of load, holds at most one.
}

func newScheduler(cfg routing.QueueConfig, now func() time.Time) *scheduler {
	s := &scheduler{
		now:     now,
		config:  cfg,
		queue:   routing.NewQueue(cfg),
		events:  make(chan event, schedulerEvents),
		done:    make(chan struct{}),
		jobs:    make(map[uint64]*job),
		closed:  true,
		reason:  CodeNoEndpoint,
		changed: make(chan struct{}, 1),
	}
	s.creditPeers.Store(1)
	s.publish()
	return s
}

// run handles events until ctx ends.
func (s *scheduler) run(ctx context.Context) {
	defer close(s.done)
	// Time alone matters only while calls wait or run.
	tick := time.NewTicker(schedulerIdle)
	defer tick.Stop()
	busy := false
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			e.apply(s)
		case <-tick.C:
		}
		s.step()
		if now := len(s.jobs) > 0; now != busy {
			busy = now
			tick.Reset(tickFor(busy))
		}
	}
}

func tickFor(busy bool) time.Duration {
	if busy {
		return schedulerTick
	}
	return schedulerIdle
}

// post hands an event to the loop. It returns once the loop has stopped.
func (s *scheduler) post(e event) {
	select {
	case s.events <- e:
	case <-s.done:
	}
}

// step applies what follows from time and the last event.
func (s *scheduler) step() {
	now := s.now()
	for _, c := range s.queue.Expire(now) {
		s.refuse(c.ID, refusal{code: CodePatience, retryAfter: s.retryAfter(c.Rank)})
	}
	s.startReady(now)
	s.preempt(now)
	s.signalIdle()
	s.publish()
}

func (s *scheduler) startReady(now time.Time) {
	for {
		c, ok := s.queue.Next(now)
		if !ok {
			return
		}
		if j := s.jobs[c.ID]; j != nil {
			j.started <- struct{}{}
		}
	}
}

func (s *scheduler) preempt(now time.Time) {
	id, ok := s.queue.Preempt(now)
	if !ok {
		return
	}
	if j := s.jobs[id]; j != nil {
		j.interrupt.request(errPreempted)
	}
}

// admits reports whether a job may enter the queue: while a drain goes on,
// only one whose caller has a part of the answer.
func (s *scheduler) admits(j *job) bool {
	if !s.closed {
		return true
	}
	return j.owed && !s.sealed && s.reason == CodeDraining
}

// refuse ends a waiting job.
func (s *scheduler) refuse(id uint64, r refusal) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	j.refused <- r
}

// retryAfter estimates when a call of the rank would find room.
func (s *scheduler) retryAfter(rank core.Rank) time.Duration {
	load := s.queue.Load()
	capacity := routing.Capacity{Slots: float64(load.Slots), MeanService: load.MeanService}
	return capacity.EstimateWait(rank, float64(load.Waiting[rank]), load.Waiting)
}

func (s *scheduler) signalIdle() {
	if len(s.jobs) > 0 {
		return
	}
	s.sealed = s.closed
	for _, c := range s.idle {
		close(c)
	}
	s.idle = nil
}

// publish makes load and credits visible to readers.
func (s *scheduler) publish() {
	load := s.queue.Load()
	old := s.load.Load()
	s.load.Store(&load)
	s.credits.Store(&creditSet{byRank: s.queue.Credits(int(s.creditPeers.Load()))})
	if old != nil && old.Running == load.Running && old.Waiting == load.Waiting {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
