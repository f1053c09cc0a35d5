package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// serviceSmoothing is the weight of a new sample in the mean service time.
const serviceSmoothing = 1.0 / 16

// maxTurns bounds the turns that a rank may save.
const maxTurns = 2

// Queue decides which calls an endpoint runs. Ranks below their guaranteed
// slots go first, then the most urgent rank; within a rank, organisations
// share by the tokens they use. It is not safe for concurrent use.
type Queue struct {
	config      QueueConfig
	room        *room
	running     map[uint64]*runningCall
	runningRank [core.RankCount]int
	guaranteed  [core.RankCount]int
	// turns lets ranks start the part of their share that is no whole slot.
	turns         [core.RankCount]float64
	runningByTurn [core.RankCount]int
	starts        [core.RankCount]decayingRate
	meanService   time.Duration
	suspect       bool // A suspect is running.
	suspectEnded  time.Time
}

// NewQueue returns an empty queue.
func NewQueue(config QueueConfig) *Queue {
	q := &Queue{
		room:    newRoom(config.Policies, config.MaxWaiting),
		running: make(map[uint64]*runningCall),
	}
	q.SetConfig(config)
	return q
}

// SetConfig replaces the policy. Waiting and running calls are kept.
func (q *Queue) SetConfig(config QueueConfig) {
	q.config = config.withDefaults()
	q.room.setPolicies(config.Policies, config.MaxWaiting)
	q.guaranteed = guaranteedSlots(config.Policies, config.Slots)
	if q.meanService == 0 {
		q.meanService = q.config.ServiceEstimate
	}
}

// Offer queues a call. It returns *ShedError for a call that would wait too
// long or finds the room full, and *DuplicateCallError. Calls evicted to make
// room need their final answer; they have not run unless they were requeued.
func (q *Queue) Offer(now time.Time, c Call) (evicted []Call, err error) {
	if q.known(c.ID) {
		return nil, &DuplicateCallError{ID: c.ID}
	}
	wait := q.wait(now, c)
	if err := check(now, c, q.config.Policies[c.Rank], wait); err != nil {
		return nil, err
	}
	return q.room.offer(now, c, wait)
}

func (q *Queue) known(id uint64) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	_, ok := q.room.byID[id]
	return ok
}

// wait estimates how long a call offered now waits.
func (q *Queue) wait(now time.Time, c Call) time.Duration {
	if len(q.running)+q.room.len() < q.config.Slots {
		return 0
	}
	return q.capacity(now).Wait(c.Rank, q.room.laneOf(c).ahead(c), q.room.waiting)
}

func (q *Queue) capacity(now time.Time) Capacity {
	capacity := Capacity{Slots: float64(q.config.Slots), MeanService: q.meanService}
	for rank, p := range q.config.Policies {
		share := p.GuaranteedShare * capacity.Slots
		capacity.Guaranteed[rank] = max(float64(q.guaranteed[rank]), share)
		capacity.StartRate[rank] = q.starts[rank].perSecond(now)
	}
	return capacity
}

// Next starts a call if a slot is free and reports whether it did.
func (q *Queue) Next(now time.Time) (Call, bool) {
	if q.suspect || len(q.running) >= q.config.Slots {
		return Call{}, false
	}
	held := q.heldForSuspect(now)
	if len(q.running) == 0 && (held || q.onlySuspectsWait()) {
		return q.start(now, q.room.lanes[suspectLane].head()), true
	}
	if held {
		return Call{}, false
	}
	d := q.demand()
	rank, ok := d.pick()
	if !ok {
		return Call{}, false
	}
	byTurn := d.start(rank)
	q.turns = d.turns
	q.addTurns()
	c := q.start(now, q.room.lanes[rank].head())
	if byTurn {
		q.running[c.ID].byTurn = true
		q.runningByTurn[rank]++
	}
	return c, true
}

// heldForSuspect reports whether no other call may start, so that the endpoint
// becomes free for a suspect that has waited its time.
func (q *Queue) heldForSuspect(now time.Time) bool {
	w := q.room.lanes[suspectLane].head()
	if w == nil {
		return false
	}
	since := w.enqueued
	if q.suspectEnded.After(since) {
		since = q.suspectEnded
	}
	return now.Sub(since) >= q.config.SuspectHold
}

func (q *Queue) onlySuspectsWait() bool {
	return q.room.len() > 0 && q.room.len() == q.room.lanes[suspectLane].waiting
}

func (q *Queue) start(now time.Time, w *waitingCall) Call {
	q.room.take(w)
	w.lane.start(w)
	q.running[w.ID] = &runningCall{waitingCall: *w, started: now, charged: w.expectedCost()}
	q.runningRank[w.Rank]++
	q.starts[w.Rank].add(now)
	q.suspect = w.Suspect
	return w.Call
}

// addTurns moves the turns of ranks whose share is more than their whole
// slots, by one start.
func (q *Queue) addTurns() {
	for rank, p := range q.config.Policies {
		short := p.GuaranteedShare - float64(q.guaranteed[rank])/float64(q.config.Slots)
		if short <= shareRounding || q.room.lanes[rank].waiting == 0 {
			q.turns[rank] = 0
			continue
		}
		q.turns[rank] = min(q.turns[rank]+short, maxTurns)
	}
}

// Used adds tokens that a running call has made.
func (q *Queue) Used(id uint64, tokens int) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	r.used += tokens
	if r.used > r.charged {
		r.lane.charge(r.organisation, r.used-r.charged)
		r.charged = r.used
	}
}

// Done ends a running call and frees its slot. Unknown calls are ignored.
func (q *Queue) Done(now time.Time, id uint64) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	if !r.yielding {
		q.measure(now.Sub(r.started))
	}
	q.stop(now, r)
}

func (q *Queue) measure(service time.Duration) {
	delta := float64(service - q.meanService)
	q.meanService += time.Duration(delta * serviceSmoothing)
}

func (q *Queue) stop(now time.Time, r *runningCall) {
	delete(q.running, r.ID)
	q.runningRank[r.Rank]--
	if r.byTurn {
		q.runningByTurn[r.Rank]--
	}
	r.lane.finish(r.organisation, r.correction())
	if r.Suspect {
		q.suspect = false
		q.suspectEnded = now
	}
}

// Remove drops a waiting call and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	return q.room.drop(id)
}

// Expire removes the calls that have waited longer than their patience or
// past their deadline. They need their final answer, and have not run unless
// they were requeued.
func (q *Queue) Expire(now time.Time) []Call {
	return q.room.expire(now)
}

// Load returns the queue's present load.
func (q *Queue) Load() Load {
	return Load{
		Slots:       q.config.Slots,
		Running:     q.runningRank,
		Waiting:     q.room.waiting,
		MeanService: q.meanService,
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
