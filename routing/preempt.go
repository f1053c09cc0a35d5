package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Preempt returns a running call that must yield its slot: a resumable call
// of a rank above its guarantee, while a more urgent call waits or a rank
// below its guarantee has waited half its patience. Each call is returned
// once; cancel it at the endpoint, then call Requeue, or Done when it
// continues elsewhere.
func (q *Queue) Preempt(now time.Time) (id uint64, ok bool) {
	if q.suspect || q.heldForSuspect(now) || len(q.running) < q.config.Slots {
		return 0, false
	}
	rank, ok := q.unserved()
	if !ok {
		return 0, false
	}
	victim := q.yielder(now, rank)
	if victim == nil {
		return 0, false
	}
	victim.yielding = true
	return victim.ID, true
}

// unserved returns the rank that waits even after every yielding call has
// left its slot.
func (q *Queue) unserved() (core.Rank, bool) {
	d := q.demand()
	free := 0
	for _, r := range q.running {
		if !r.yielding {
			continue
		}
		free++
		if !r.byTurn {
			d.running[r.Rank]--
		}
	}
	for range free {
		rank, ok := d.pick()
		if !ok {
			return 0, false
		}
		d.start(rank)
	}
	return d.pick()
}

// yielder picks the call that yields to the rank: of the least urgent rank,
// the organisation that used the most and the latest start.
func (q *Queue) yielder(now time.Time, rank core.Rank) *runningCall {
	kept := q.keptRunning()
	for i := core.RankCount - 1; i >= 0; i-- {
		victimRank := core.Rank(i)
		if victimRank == rank || kept[victimRank] <= q.guaranteed[victimRank] {
			continue
		}
		if victimRank < rank && !q.longBelowGuarantee(now, rank, kept) {
			continue
		}
		if victim := q.yielderOf(victimRank); victim != nil {
			return victim
		}
	}
	return nil
}

func (q *Queue) keptRunning() [core.RankCount]int {
	kept := q.runningRank
	for _, r := range q.running {
		if r.yielding {
			kept[r.Rank]--
		}
	}
	return kept
}

func (q *Queue) longBelowGuarantee(now time.Time, rank core.Rank, kept [core.RankCount]int) bool {
	if kept[rank] >= q.guaranteed[rank] {
		return false
	}
	waited := now.Sub(q.room.lanes[rank].head().enqueued)
	return waited > q.config.Policies[rank].Patience/2
}

func (q *Queue) yielderOf(rank core.Rank) *runningCall {
	var victim *runningCall
	for _, r := range q.running {
		if r.Rank != rank || !r.Resumable || r.yielding || r.yields >= q.config.MaxYields {
			continue
		}
		if victim == nil || yieldsBefore(r, victim) {
			victim = r
		}
	}
	return victim
}

func yieldsBefore(a, b *runningCall) bool {
	if a.organisation.virtual != b.organisation.virtual {
		return a.organisation.virtual > b.organisation.virtual
	}
	if !a.started.Equal(b.started) {
		return a.started.After(b.started)
	}
	return a.ID > b.ID
}

// Requeue moves a running call back to the head of its organisation's waiting
// calls, with the tokens it still expects to use. Its patience starts anew.
// It reports whether the call was running.
func (q *Queue) Requeue(now time.Time, id uint64, expectedTokens int) bool {
	r, ok := q.running[id]
	if !ok {
		return false
	}
	q.stop(now, r)
	c := r.Call
	c.ExpectedTokens = expectedTokens
	c.Waited = 0
	q.room.insert(&waitingCall{Call: c, enqueued: now, yields: r.yields + 1}, true)
	return true
}
