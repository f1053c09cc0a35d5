package placesim

import (
	"math/rand/v2"
	"time"

	"github.com/snipestep/snipestep/routing/places"
)

// policy decides for one entry. sent and refused are told of each request.
type policy interface {
	offer(now time.Time, r *request)
	began(now time.Time, engine string, r *request)
	ended(now time.Time, engine string, r *request)
	// report is called for each engine, every reportInterval.
	report(now time.Time, engine string, running, waiting int, demand float64)
	// demand is what waits here.
	demand() float64
}

// deliver hands a request to an engine, or refuses it with engine "".
type deliver func(r *request, engine string)

// pooled is the product's policy.
type pooled struct {
	pattern *Pattern
	pool    *places.Pool
	held    map[uint64]heldRequest
	deliver deliver
}

type heldRequest struct {
	request *request
	giveUp  time.Time
}

const (
	// usualFirst is the first event of an engine that is not full.
	usualFirst = 120 * time.Millisecond
	// lateHold is how long a request is held beyond its aim.
	lateHold = 600 * time.Millisecond
	// tightAim is the aim below which one long prompt makes a request late.
	tightAim = 300 * time.Millisecond
	// perEvent is how long an event of a loaded engine takes.
	perEvent = 50 * time.Millisecond
	reported = 1 // The version that every engine holds.
)

func newPooled(p *Pattern, config EngineConfig, ids []string, start time.Time, seed uint64, d deliver) *pooled {
	pool := places.NewPool(places.Config{
		Region: "r", Reported: true, ReadRate: config.ReadRate, Rand: rand.New(rand.NewPCG(seed, 1)),
	})
	pool.SetEntries(p.Entries)
	var list []places.Endpoint
	for _, id := range ids {
		list = append(list, places.Endpoint{ID: id, Region: "r", Slots: config.Slots, Held: reported})
	}
	pool.SetEndpoints(start.Add(-time.Second), list)
	return &pooled{pattern: p, pool: pool, held: make(map[uint64]heldRequest), deliver: d}
}

func (p *pooled) offer(now time.Time, r *request) {
	aim := p.pattern.Kinds[r.kind].Aim
	a := &places.Ask{
		ID: r.id, Rank: r.kind, Arrived: now, Prompt: r.prompt, Size: r.prompt, Tight: aim < tightAim,
		OnTimeUntil: now.Add(max(aim-usualFirst, aim/2)), GiveUp: now.Add(aim + lateHold),
		Expected: usualFirst + time.Duration(r.events)*perEvent,
	}
	switch d := p.pool.Submit(now, a); d.Verdict {
	case places.Start:
		p.deliver(r, d.Endpoint)
	case places.Enqueue:
		p.held[r.id] = heldRequest{request: r, giveUp: a.GiveUp}
	case places.Refuse:
		p.deliver(r, "")
	}
}

func (p *pooled) next(now time.Time) {
	for _, s := range p.pool.Dispatch(now) {
		r := p.held[s.Request.ID].request
		delete(p.held, s.Request.ID)
		p.deliver(r, s.Endpoint)
	}
}

func (p *pooled) began(now time.Time, engine string, r *request) {
	p.pool.Progress(now, engine, r.id)
	p.next(now)
}

func (p *pooled) ended(now time.Time, engine string, r *request) {
	p.pool.Done(now, engine, r.id, places.Served)
	p.next(now)
}

func (p *pooled) report(now time.Time, engine string, running, waiting int, demand float64) {
	p.pool.Report(engine, places.Report{At: now, Running: running, Waiting: waiting, Held: reported, Demand: demand})
	for id, h := range p.held {
		if now.After(h.giveUp) && p.pool.Remove(id) {
			delete(p.held, id)
			p.deliver(h.request, "")
		}
	}
	p.next(now)
}

func (p *pooled) demand() float64 {
	return p.pool.Demand()
}

// bounded is the baseline: a fixed bound of requests for each engine, fewest
// first, and no queue.
type bounded struct {
	bound   int
	ids     []string
	own     map[string]int
	deliver deliver
}

func (b *bounded) offer(_ time.Time, r *request) {
	best := ""
	for _, id := range b.ids {
		if b.own[id] < b.bound && (best == "" || b.own[id] < b.own[best]) {
			best = id
		}
	}
	if best != "" {
		b.own[best]++
	}
	b.deliver(r, best)
}

func (b *bounded) ended(_ time.Time, engine string, _ *request) { b.own[engine]-- }

func (*bounded) began(time.Time, string, *request)           {}
func (*bounded) report(time.Time, string, int, int, float64) {}
func (*bounded) demand() float64                             { return 0 }
