package placesim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	tick = 5 * time.Millisecond
	// reportInterval is that of the agents' load reports.
	reportInterval = 50 * time.Millisecond
	// drain is how long the engines go on after the last arrival.
	drain = 5 * time.Second
	// leastSize and sizeSpread vary a request's prompt and events around the
	// kind's mean.
	leastSize  = 0.3
	sizeSpread = 1.4
)

// simulation is one run of a pattern.
type simulation struct {
	pattern  Pattern
	rand     *rand.Rand
	start    time.Time
	now      time.Time
	ids      []string
	engines  map[string]*engine
	policies []policy
	result   []Outcome
	nextID   uint64
	due      float64
}

// RunPolicy runs a pattern with the product's policy.
func RunPolicy(p Pattern, seed uint64) []Outcome {
	s := newSimulation(p, seed)
	for i := range p.Entries {
		s.policies = append(s.policies, newPooled(&s.pattern, usualEngine(), s.ids, s.start, seed<<8+uint64(i), s.deliver))
	}
	return s.run()
}

// RunBaseline runs a pattern with a fixed bound of requests of each entry for
// each engine.
func RunBaseline(p Pattern, seed uint64, bound int) []Outcome {
	s := newSimulation(p, seed)
	for range p.Entries {
		s.policies = append(s.policies, &bounded{bound: bound, ids: s.ids, own: make(map[string]int), deliver: s.deliver})
	}
	return s.run()
}

func newSimulation(p Pattern, seed uint64) *simulation {
	s := &simulation{
		pattern: p, rand: rand.New(rand.NewPCG(seed, 0)), start: time.Unix(0, 0),
		engines: make(map[string]*engine), result: make([]Outcome, len(p.Kinds)),
	}
	s.now = s.start
	for i := range p.Engines {
		id := fmt.Sprintf("engine-%02d", i)
		s.ids = append(s.ids, id)
		s.engines[id] = &engine{config: usualEngine(), ends: s.start}
	}
	return s
}

func (s *simulation) run() []Outcome {
	end := s.start.Add(s.pattern.Length)
	for ; s.now.Before(end.Add(drain)); s.now = s.now.Add(tick) {
		s.advance()
		if s.now.Sub(s.start)%reportInterval == 0 {
			s.report()
		}
		if s.now.Before(end) {
			s.arrive()
		}
	}
	return s.result
}

func (s *simulation) advance() {
	for _, id := range s.ids {
		s.engines[id].advance(s.now,
			func(r *request) { s.policies[r.entry].began(s.now, id, r) },
			func(r *request) {
				s.count(r)
				s.policies[r.entry].ended(s.now, id, r)
			})
	}
}

// count takes in a request that ended.
func (s *simulation) count(r *request) {
	if r.first.Sub(r.arrived) <= s.pattern.Kinds[r.kind].Aim {
		s.result[r.kind].OnTime++
		return
	}
	s.result[r.kind].Late++
}

func (s *simulation) report() {
	demand := 0.0
	for _, p := range s.policies {
		demand += p.demand()
	}
	for _, p := range s.policies {
		for _, id := range s.ids {
			running, waiting := s.engines[id].load()
			p.report(s.now, id, running, waiting, demand)
		}
	}
}

// arrive makes the requests of one tick.
func (s *simulation) arrive() {
	for i, kind := range s.pattern.Kinds {
		s.due += s.pattern.Rate * kind.Share * s.burst(i) * tick.Seconds()
		for ; s.due >= 1; s.due-- {
			s.ask(s.draw())
		}
	}
}

// draw picks a kind by its present part of the requests.
func (s *simulation) draw() int {
	total := 0.0
	for i, kind := range s.pattern.Kinds {
		total += kind.Share * s.burst(i)
	}
	at := s.rand.Float64() * total
	for i, kind := range s.pattern.Kinds {
		if at -= kind.Share * s.burst(i); at < 0 {
			return i
		}
	}
	return len(s.pattern.Kinds) - 1
}

// burst is by how much a kind's rate is multiplied now.
func (s *simulation) burst(kind int) float64 {
	since := s.now.Sub(s.start)
	p := &s.pattern
	if p.Burst == 0 || kind != p.BurstKind || since < p.BurstFrom || since >= p.BurstFrom+p.BurstFor {
		return 1
	}
	return p.Burst
}

func (s *simulation) ask(kind int) {
	k := s.pattern.Kinds[kind]
	size := leastSize + sizeSpread*s.rand.Float64()
	s.nextID++
	s.result[kind].Asked++
	r := &request{
		id: s.nextID, kind: kind, entry: s.rand.IntN(s.pattern.Entries), arrived: s.now,
		prompt: size * k.Prompt, events: max(int(size*float64(k.Events)), 1),
	}
	s.policies[r.entry].offer(s.now, r)
}

// deliver hands a request to an engine, or counts it as refused.
func (s *simulation) deliver(r *request, id string) {
	if id == "" {
		s.result[r.kind].Refused++
		return
	}
	s.engines[id].waiting = append(s.engines[id].waiting, r)
}
