package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

const (
	busyTickInterval = 10 * time.Millisecond
	idleTickInterval = time.Second
	eventQueueSize   = 1024
)

// scheduler is the event loop that owns the queue of one endpoint. Other
// goroutines use post, or read the published load and credits.
type scheduler struct {
	now    func() time.Time
	queue  *routing.Queue
	events chan event
	done   chan struct{}

	// Owned by the loop.
	config      routing.QueueConfig
	jobs        map[uint64]*job
	closed      bool // New calls are refused.
	closeReason string
	// drained says that the last call has ended after the scheduler closed.
	// From then on the endpoint's model may change, and no call is admitted.
	drained     bool
	restUntil   time.Time       // The endpoint wants no calls before.
	limit       callLimit       // The calls a second that the endpoint takes.
	idleWaiters []chan struct{} // Closed once nothing is queued or running.

	// isLimited says that limit is set.
	isLimited atomic.Bool
	load      atomic.Pointer[routing.Load]
	// credits are the calls that each of entryCount entries may send.
	entryCount  atomic.Int32
	credits     atomic.Pointer[creditSet]
	loadChanged chan struct{} // Signals a change of load; buffers at most one signal.
}

func newScheduler(cfg routing.QueueConfig, now func() time.Time) *scheduler {
	s := &scheduler{
		now:         now,
		config:      cfg,
		queue:       routing.NewQueue(cfg),
		events:      make(chan event, eventQueueSize),
		done:        make(chan struct{}),
		jobs:        make(map[uint64]*job),
		closed:      true,
		closeReason: CodeNoEndpoint,
		loadChanged: make(chan struct{}, 1),
	}
	s.entryCount.Store(1)
	s.publish()
	return s
}

// run handles events until ctx ends.
func (s *scheduler) run(ctx context.Context) {
	defer close(s.done)
	// Ticks matter only while calls wait or run, or a limit admits more of them.
	tick := time.NewTicker(idleTickInterval)
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
		if nowBusy := len(s.jobs) > 0 || s.limit.isSet(); nowBusy != busy {
			busy = nowBusy
			tick.Reset(tickInterval(busy))
		}
	}
}

func tickInterval(busy bool) time.Duration {
	if busy {
		return busyTickInterval
	}
	return idleTickInterval
}

// post sends an event to the loop. It does not block once the loop has stopped.
func (s *scheduler) post(e event) {
	select {
	case s.events <- e:
	case <-s.done:
	}
}

// step expires, starts and preempts calls after an event or a tick, and
// publishes the result.
func (s *scheduler) step() {
	now := s.now()
	for _, c := range s.queue.Expire(now) {
		s.refuse(c.ID, refusal{code: CodePatienceExceeded, retryAfter: s.retryAfter(c.Rank)})
	}
	s.startReady(now)
	s.preempt(now)
	s.signalIdle()
	s.publish()
}

func (s *scheduler) startReady(now time.Time) {
	if s.restLeft() > 0 {
		return
	}
	for s.limit.allows(now, 1) {
		c, ok := s.queue.Next(now)
		if !ok {
			return
		}
		s.limit.take()
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

// admits reports whether a job may enter the queue. During a drain, only
// continuations may.
func (s *scheduler) admits(j *job) bool {
	if !s.closed {
		return true
	}
	return j.continuation && !s.drained && s.closeReason == CodeDraining
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

// retryAfter estimates when a call of the rank could start.
func (s *scheduler) retryAfter(rank core.Rank) time.Duration {
	load := s.queue.Load()
	capacity := routing.Capacity{Slots: float64(load.Slots), MeanServiceTime: load.MeanServiceTime}
	return capacity.EstimateWait(rank, float64(load.Waiting[rank]), load.Waiting)
}

func (s *scheduler) signalIdle() {
	if len(s.jobs) > 0 {
		return
	}
	s.drained = s.closed
	for _, waiter := range s.idleWaiters {
		close(waiter)
	}
	s.idleWaiters = nil
}

// publish makes load and credits visible to other goroutines.
func (s *scheduler) publish() {
	load := s.queue.Load()
	previous := s.load.Load()
	s.load.Store(&load)
	s.credits.Store(s.currentCredits())
	if previous != nil && previous.Running == load.Running && previous.Waiting == load.Waiting {
		return
	}
	select {
	case s.loadChanged <- struct{}{}:
	default:
	}
}
