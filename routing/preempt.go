package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Preempt returns a running call to preempt: a resumable call of a rank above
// its guarantee, while a more urgent call waits or a rank below its guarantee
// has waited longer than half its patience. Each call is returned once; the
// caller cancels it at the endpoint, then calls Requeue, or Done if it
// continues elsewhere.
func (q *Queue) Preempt(now time.Time) (id uint64, ok bool) {
	if q.suspectRunning || q.reservedForSuspect(now) || len(q.running) < q.config.Slots {
		return 0, false
	}
	rank, ok := q.rankNeedingSlot()
	if !ok {
		return 0, false
	}
	victim := q.preemptionVictim(now, rank)
	if victim == nil {
		return 0, false
	}
	victim.preempted = true
	return victim.ID, true
}

// rankNeedingSlot returns the rank that still waits for a slot once every
// preempted call has freed its slot.
func (q *Queue) rankNeedingSlot() (core.Rank, bool) {
	selector := q.rankSelector()
	freedSlots := 0
	for _, r := range q.running {
		if !r.preempted {
			continue
		}
		freedSlots++
		if !r.fromDeficit {
			selector.running[r.Rank]--
		}
	}
	for range freedSlots {
		rank, ok := selector.pick()
		if !ok {
			return 0, false
		}
		selector.start(rank)
	}
	return selector.pick()
}

// preemptionVictim picks the call to preempt for the rank: from the least
// urgent rank, the flow with the greatest virtual time, then the latest start.
func (q *Queue) preemptionVictim(now time.Time, rank core.Rank) *runningCall {
	remaining := q.runningAfterPreemption()
	for i := core.RankCount - 1; i >= 0; i-- {
		victimRank := core.Rank(i)
		if victimRank == rank || remaining[victimRank] <= q.guaranteed[victimRank] {
			continue
		}
		if victimRank < rank && !q.longBelowGuarantee(now, rank, remaining) {
			continue
		}
		if victim := q.preemptionVictimOfRank(victimRank); victim != nil {
			return victim
		}
	}
	return nil
}

func (q *Queue) runningAfterPreemption() [core.RankCount]int {
	remaining := q.runningByRank
	for _, r := range q.running {
		if r.preempted {
			remaining[r.Rank]--
		}
	}
	return remaining
}

func (q *Queue) longBelowGuarantee(now time.Time, rank core.Rank, remaining [core.RankCount]int) bool {
	if remaining[rank] >= q.guaranteed[rank] {
		return false
	}
	waited := now.Sub(q.backlog.queues[rank].head().enqueuedAt)
	return waited > q.config.Policies[rank].Patience/2
}

func (q *Queue) preemptionVictimOfRank(rank core.Rank) *runningCall {
	var victim *runningCall
	for _, r := range q.running {
		if r.Rank != rank || !r.Resumable || r.preempted || r.preemptions >= q.config.MaxPreemptions {
			continue
		}
		if victim == nil || preemptsBefore(r, victim) {
			victim = r
		}
	}
	return victim
}

func preemptsBefore(a, b *runningCall) bool {
	if a.flow.virtualTime != b.flow.virtualTime {
		return a.flow.virtualTime > b.flow.virtualTime
	}
	if !a.startedAt.Equal(b.startedAt) {
		return a.startedAt.After(b.startedAt)
	}
	return a.ID > b.ID
}

// Requeue moves a running call back to the head of its organisation's waiting
// calls, with expectedTokens as its remaining cost. Its patience restarts.
// Requeue reports whether the call was running.
func (q *Queue) Requeue(now time.Time, id uint64, expectedTokens int) bool {
	r, ok := q.running[id]
	if !ok {
		return false
	}
	q.stop(now, r)
	c := r.Call
	c.ExpectedTokens = expectedTokens
	c.Waited = 0
	q.backlog.insert(&waitingCall{Call: c, enqueuedAt: now, preemptions: r.preemptions + 1}, true)
	return true
}
