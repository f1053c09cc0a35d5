package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// serviceSmoothing is the weight of a new sample in the moving average of the
// service time.
const serviceSmoothing = 1.0 / 16

// maxDeficit bounds the starts that a rank may accrue.
const maxDeficit = 2

// Queue decides which calls an endpoint runs. Ranks below their guaranteed
// slots go first, then the most urgent rank; within a rank, organisations
// share the slots by the tokens that they use. It is not safe for concurrent
// use.
type Queue struct {
	config        QueueConfig
	backlog       *backlog
	running       map[uint64]*runningCall
	runningByRank [core.RankCount]int
	guaranteed    [core.RankCount]int
	// deficits counts the starts owed to each rank for the fraction of its
	// share beyond whole slots, as in deficit round robin.
	deficits           [core.RankCount]float64
	runningFromDeficit [core.RankCount]int
	starts             [core.RankCount]decayingRate
	meanServiceTime    time.Duration
	suspectRunning     bool
	suspectEndedAt     time.Time
}

// NewQueue returns an empty queue.
func NewQueue(config QueueConfig) *Queue {
	q := &Queue{
		backlog: newBacklog(config.Policies, config.MaxWaiting),
		running: make(map[uint64]*runningCall),
	}
	q.SetConfig(config)
	return q
}

// SetConfig replaces the configuration. Waiting and running calls are kept.
func (q *Queue) SetConfig(config QueueConfig) {
	q.config = config.withDefaults()
	q.backlog.setPolicies(config.Policies, config.MaxWaiting)
	q.guaranteed = guaranteedSlots(config.Policies, config.Slots)
	if q.meanServiceTime == 0 {
		q.meanServiceTime = q.config.InitialServiceTime
	}
}

// Offer queues a call. It returns *ShedError for a call that would wait too
// long or does not fit, or *DuplicateCallError. The caller must answer evicted
// calls; they have not run unless they were requeued.
func (q *Queue) Offer(now time.Time, c Call) (evicted []Call, err error) {
	if q.known(c.ID) {
		return nil, &DuplicateCallError{ID: c.ID}
	}
	wait := q.estimateWait(now, c)
	if err := checkAdmission(now, c, q.config.Policies[c.Rank], wait); err != nil {
		return nil, err
	}
	return q.backlog.offer(now, c, wait)
}

func (q *Queue) known(id uint64) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	_, ok := q.backlog.byID[id]
	return ok
}

// estimateWait estimates how long a call queued now waits.
func (q *Queue) estimateWait(now time.Time, c Call) time.Duration {
	if len(q.running)+q.backlog.len() < q.config.Slots {
		return 0
	}
	return q.capacity(now).EstimateWait(c.Rank, q.backlog.queueFor(c).callsAhead(c), q.backlog.waiting)
}

func (q *Queue) capacity(now time.Time) Capacity {
	capacity := Capacity{Slots: float64(q.config.Slots), MeanServiceTime: q.meanServiceTime}
	for rank, p := range q.config.Policies {
		share := p.GuaranteedShare * capacity.Slots
		capacity.Guaranteed[rank] = max(float64(q.guaranteed[rank]), share)
		capacity.StartRate[rank] = q.starts[rank].perSecond(now)
	}
	return capacity
}

// Next starts a call if a slot is free and reports whether it did.
func (q *Queue) Next(now time.Time) (Call, bool) {
	if q.suspectRunning || len(q.running) >= q.config.Slots {
		return Call{}, false
	}
	reserved := q.reservedForSuspect(now)
	if len(q.running) == 0 && (reserved || q.onlySuspectsWait()) {
		return q.start(now, q.backlog.queues[suspectQueue].head()), true
	}
	if reserved {
		return Call{}, false
	}
	selector := q.rankSelector()
	rank, ok := selector.pick()
	if !ok {
		return Call{}, false
	}
	fromDeficit := selector.start(rank)
	q.deficits = selector.deficits
	q.accrueDeficits()
	c := q.start(now, q.backlog.queues[rank].head())
	if fromDeficit {
		q.running[c.ID].fromDeficit = true
		q.runningFromDeficit[rank]++
	}
	return c, true
}

// reservedForSuspect reports whether no other call may start, so that the
// endpoint becomes idle for a suspect that has waited MaxSuspectWait.
func (q *Queue) reservedForSuspect(now time.Time) bool {
	w := q.backlog.queues[suspectQueue].head()
	if w == nil {
		return false
	}
	since := w.enqueuedAt
	if q.suspectEndedAt.After(since) {
		since = q.suspectEndedAt
	}
	return now.Sub(since) >= q.config.MaxSuspectWait
}

func (q *Queue) onlySuspectsWait() bool {
	return q.backlog.len() > 0 && q.backlog.len() == q.backlog.queues[suspectQueue].waiting
}

func (q *Queue) start(now time.Time, w *waitingCall) Call {
	q.backlog.remove(w)
	w.queue.start(w)
	q.running[w.ID] = &runningCall{waitingCall: *w, startedAt: now, charged: w.expectedCost()}
	q.runningByRank[w.Rank]++
	q.starts[w.Rank].add(now)
	q.suspectRunning = w.Suspect
	return w.Call
}

// accrueDeficits is called for each start except a suspect's. It adds the
// fraction of a rank's share beyond its whole slots to the rank's deficit, and
// resets the deficits of ranks without such a fraction or without waiting calls.
func (q *Queue) accrueDeficits() {
	for rank, p := range q.config.Policies {
		fraction := p.GuaranteedShare - float64(q.guaranteed[rank])/float64(q.config.Slots)
		if fraction <= shareTolerance || q.backlog.queues[rank].waiting == 0 {
			q.deficits[rank] = 0
			continue
		}
		q.deficits[rank] = min(q.deficits[rank]+fraction, maxDeficit)
	}
}

// RecordTokens adds tokens that a running call has generated.
func (q *Queue) RecordTokens(id uint64, tokens int) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	r.generated += tokens
	if r.generated > r.charged {
		r.queue.charge(r.flow, r.generated-r.charged)
		r.charged = r.generated
	}
}

// Done ends a running call and frees its slot. Unknown calls are ignored.
func (q *Queue) Done(now time.Time, id uint64) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	if !r.preempted {
		q.recordServiceTime(now.Sub(r.startedAt))
	}
	q.stop(now, r)
}

func (q *Queue) recordServiceTime(serviceTime time.Duration) {
	delta := float64(serviceTime - q.meanServiceTime)
	q.meanServiceTime += time.Duration(delta * serviceSmoothing)
}

func (q *Queue) stop(now time.Time, r *runningCall) {
	delete(q.running, r.ID)
	q.runningByRank[r.Rank]--
	if r.fromDeficit {
		q.runningFromDeficit[r.Rank]--
	}
	r.queue.finish(r.flow, r.correction())
	if r.Suspect {
		q.suspectRunning = false
		q.suspectEndedAt = now
	}
}

// Remove drops a waiting call and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	return q.backlog.removeByID(id)
}

// Expire removes the calls that have waited longer than their patience or
// past their deadline. The caller must answer them; they have not run unless
// they were requeued.
func (q *Queue) Expire(now time.Time) []Call {
	return q.backlog.expire(now)
}

// Load returns the queue's current load.
func (q *Queue) Load() Load {
	return Load{
		Slots:           q.config.Slots,
		Running:         q.runningByRank,
		Waiting:         q.backlog.waiting,
		MeanServiceTime: q.meanServiceTime,
	}
}

// Running returns the running calls in no order.
func (q *Queue) Running() []Call {
	calls := make([]Call, 0, len(q.running))
	for _, r := range q.running {
		calls = append(calls, r.Call)
	}
	return calls
}
