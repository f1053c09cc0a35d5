package routing

import (
	"container/heap"
	"math"

	"github.com/snipestep/snipestep/core"
)

// minCallCost is the least number of tokens charged for a call.
const minCallCost = 1

// fairQueue shares the slots of one rank between organisations by start-time
// fair queueing: the flow with the least virtual time goes next, and one that
// was idle starts at the queue's virtual time, so that past use does not count.
type fairQueue struct {
	flows       map[core.OrganisationID]*flow
	active      flowHeap
	virtualTime float64
	waiting     int
	running     int
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[core.OrganisationID]*flow)}
}

// flowFor returns the flow of the call's organisation. It creates the flow if
// needed and advances an idle one to the queue's virtual time.
func (fq *fairQueue) flowFor(c Call) *flow {
	f, ok := fq.flows[c.Organisation]
	if !ok {
		f = &flow{organisation: c.Organisation, index: notInHeap}
		f.waiting.Init()
		fq.flows[c.Organisation] = f
	}
	f.weight = c.weight()
	if f.idle() {
		f.virtualTime = math.Max(f.virtualTime, fq.virtualTime)
	}
	return f
}

func (fq *fairQueue) push(w *waitingCall, front bool) {
	f := fq.flowFor(w.Call)
	w.queue = fq
	w.flow = f
	if front {
		w.element = f.waiting.PushFront(w)
	} else {
		w.element = f.waiting.PushBack(w)
	}
	fq.waiting++
	if f.index == notInHeap {
		heap.Push(&fq.active, f)
	}
}

// head returns the call to start next, or nil.
func (fq *fairQueue) head() *waitingCall {
	if len(fq.active) == 0 {
		return nil
	}
	return fq.active[0].waiting.Front().Value.(*waitingCall)
}

func (fq *fairQueue) remove(w *waitingCall) {
	f := w.flow
	f.waiting.Remove(w.element)
	fq.waiting--
	if f.waiting.Len() == 0 {
		heap.Remove(&fq.active, f.index)
	}
	fq.dropIdleFlow(f)
}

// start counts a removed call as running and charges its expected cost.
func (fq *fairQueue) start(w *waitingCall) {
	f := fq.flowFor(w.Call)
	w.flow = f
	fq.virtualTime = math.Max(fq.virtualTime, f.virtualTime)
	f.running++
	fq.running++
	fq.charge(f, w.expectedCost())
}

// finish ends a running call. correction is the cost not yet charged; it is
// negative if too much was charged.
func (fq *fairQueue) finish(f *flow, correction int) {
	f.running--
	fq.running--
	fq.charge(f, correction)
	fq.dropIdleFlow(f)
}

func (fq *fairQueue) charge(f *flow, tokens int) {
	f.virtualTime += float64(tokens) / f.weight
	if f.index != notInHeap {
		heap.Fix(&fq.active, f.index)
	}
}

// dropIdleFlow drops flows whose state no longer has an effect.
func (fq *fairQueue) dropIdleFlow(f *flow) {
	if fq.waiting == 0 && fq.running == 0 {
		clear(fq.flows)
		fq.virtualTime = 0
		return
	}
	if f.idle() && f.virtualTime <= fq.virtualTime {
		delete(fq.flows, f.organisation)
	}
}

// callsAhead estimates how many waiting calls start before c if it is queued
// now: those with an earlier virtual time. It assumes that the calls of other
// organisations cost as much as c.
func (fq *fairQueue) callsAhead(c Call) float64 {
	cost := float64(max(c.ExpectedTokens, minCallCost))
	ownWaiting := 0.0
	startTime := fq.virtualTime
	if f, ok := fq.flows[c.Organisation]; ok {
		ownWaiting = float64(f.waiting.Len())
		startTime = f.virtualTime
		if f.idle() {
			startTime = math.Max(f.virtualTime, fq.virtualTime)
		}
	}
	startTime += ownWaiting * cost / c.weight()
	ahead := ownWaiting
	for _, f := range fq.active {
		if f.organisation == c.Organisation || f.virtualTime > startTime {
			continue
		}
		startEarlier := math.Floor((startTime-f.virtualTime)*f.weight/cost) + 1
		ahead += math.Min(float64(f.waiting.Len()), startEarlier)
	}
	return ahead
}

// evictionVictim returns the newest call of the flow with the largest weighted
// backlog; ties go to the flow with the greatest virtual time.
func (fq *fairQueue) evictionVictim() *waitingCall {
	var largest *flow
	for _, f := range fq.active {
		if largest == nil || evictsBefore(f, largest) {
			largest = f
		}
	}
	if largest == nil {
		return nil
	}
	return largest.waiting.Back().Value.(*waitingCall)
}

func evictsBefore(a, b *flow) bool {
	if a.weightedBacklog() != b.weightedBacklog() {
		return a.weightedBacklog() > b.weightedBacklog()
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime > b.virtualTime
	}
	return a.organisation > b.organisation
}
