package routing

import (
	"container/heap"
	"math"

	"github.com/snipestep/snipestep/core"
)

// minCallCost is the least number of tokens charged for a call.
const minCallCost = 1

// lane shares the service of one rank between organisations by start-time
// fair queueing: the organisation with the least virtual time goes next, and
// one that was idle starts at the lane's virtual time, so that old use is
// forgotten.
type lane struct {
	organisations map[core.OrganisationID]*organisation
	active        organisationHeap
	virtual       float64
	waiting       int
	running       int
}

func newLane() *lane {
	return &lane{organisations: make(map[core.OrganisationID]*organisation)}
}

// organisation returns the caller's organisation, made or woken as needed.
func (l *lane) organisation(c Call) *organisation {
	o, ok := l.organisations[c.Organisation]
	if !ok {
		o = &organisation{id: c.Organisation, index: notInHeap}
		o.waiting.Init()
		l.organisations[c.Organisation] = o
	}
	o.weight = c.weight()
	if o.idle() {
		o.virtual = math.Max(o.virtual, l.virtual)
	}
	return o
}

func (l *lane) push(w *waitingCall, front bool) {
	o := l.organisation(w.Call)
	w.lane = l
	w.organisation = o
	if front {
		w.element = o.waiting.PushFront(w)
	} else {
		w.element = o.waiting.PushBack(w)
	}
	l.waiting++
	if o.index == notInHeap {
		heap.Push(&l.active, o)
	}
}

// head returns the call that goes next, or nil.
func (l *lane) head() *waitingCall {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].waiting.Front().Value.(*waitingCall)
}

func (l *lane) remove(w *waitingCall) {
	o := w.organisation
	o.waiting.Remove(w.element)
	l.waiting--
	if o.waiting.Len() == 0 {
		heap.Remove(&l.active, o.index)
	}
	l.forget(o)
}

// start counts a removed call as running and charges its expected cost.
func (l *lane) start(w *waitingCall) {
	o := l.organisation(w.Call)
	w.organisation = o
	l.virtual = math.Max(l.virtual, o.virtual)
	o.running++
	l.running++
	l.charge(o, w.expectedCost())
}

// finish ends a running call; correction is the cost not yet charged, or
// negative when too much was.
func (l *lane) finish(o *organisation, correction int) {
	o.running--
	l.running--
	l.charge(o, correction)
	l.forget(o)
}

func (l *lane) charge(o *organisation, tokens int) {
	o.virtual += float64(tokens) / o.weight
	if o.index != notInHeap {
		heap.Fix(&l.active, o.index)
	}
}

// forget drops state that no longer has an effect.
func (l *lane) forget(o *organisation) {
	if l.waiting == 0 && l.running == 0 {
		clear(l.organisations)
		l.virtual = 0
		return
	}
	if o.idle() && o.virtual <= l.virtual {
		delete(l.organisations, o.id)
	}
}

// ahead estimates how many waiting calls start before one offered by the
// organisation now: those whose virtual time comes first. The calls of others
// are taken to cost as much as this one.
func (l *lane) ahead(c Call) float64 {
	cost := float64(max(c.ExpectedTokens, minCallCost))
	own := 0.0
	start := l.virtual
	if o, ok := l.organisations[c.Organisation]; ok {
		own = float64(o.waiting.Len())
		start = o.virtual
		if o.idle() {
			start = math.Max(o.virtual, l.virtual)
		}
	}
	start += own * cost / c.weight()
	ahead := own
	for _, o := range l.active {
		if o.id == c.Organisation || o.virtual > start {
			continue
		}
		first := math.Floor((start-o.virtual)*o.weight/cost) + 1
		ahead += math.Min(float64(o.waiting.Len()), first)
	}
	return ahead
}

// victim returns the newest call of the organisation that holds the most
// waiting calls by weight; of equals, the one that used the most.
func (l *lane) victim() *waitingCall {
	var most *organisation
	for _, o := range l.active {
		if most == nil || holdsMore(o, most) {
			most = o
		}
	}
	if most == nil {
		return nil
	}
	return most.waiting.Back().Value.(*waitingCall)
}

func holdsMore(a, b *organisation) bool {
	if a.held() != b.held() {
		return a.held() > b.held()
	}
	if a.virtual != b.virtual {
		return a.virtual > b.virtual
	}
	return a.id > b.id
}
