package admissionsim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	tick = 5 * time.Millisecond
	// reportInterval is the interval of the agents' load reports.
	reportInterval = 50 * time.Millisecond
	// drainTime is how long the simulation runs after the last arrival.
	drainTime = 5 * time.Second
	// minSizeFactor and sizeFactorRange vary a request's prompt and events around
	// the mean of its kind.
	minSizeFactor   = 0.3
	sizeFactorRange = 1.4
)

// simulation is one run of a pattern.
type simulation struct {
	pattern         Pattern
	rand            *rand.Rand
	start           time.Time
	now             time.Time
	engineIDs       []string
	engines         map[string]*engine
	policies        []policy
	results         []Result
	nextID          uint64
	pendingArrivals float64
}

// RunPolicy runs a pattern with the pools of routing/admission.
func RunPolicy(p Pattern, seed uint64) []Result {
	s := newSimulation(p, seed)
	for i := range p.Entries {
		s.policies = append(s.policies, newPoolPolicy(&s.pattern, typicalEngine(), s.engineIDs, s.start, seed<<8+uint64(i), s.deliver))
	}
	return s.run()
}

// RunBaseline runs a pattern with a fixed limit of concurrent requests for each
// pair of entry and engine.
func RunBaseline(p Pattern, seed uint64, limit int) []Result {
	s := newSimulation(p, seed)
	for range p.Entries {
		s.policies = append(s.policies, &fixedLimitPolicy{limit: limit, engineIDs: s.engineIDs, inFlight: make(map[string]int), deliver: s.deliver})
	}
	return s.run()
}

func newSimulation(p Pattern, seed uint64) *simulation {
	s := &simulation{
		pattern: p, rand: rand.New(rand.NewPCG(seed, 0)), start: time.Unix(0, 0),
		engines: make(map[string]*engine), results: make([]Result, len(p.Kinds)),
	}
	s.now = s.start
	for i := range p.Engines {
		id := fmt.Sprintf("engine-%02d", i)
		s.engineIDs = append(s.engineIDs, id)
		s.engines[id] = &engine{config: typicalEngine(), passEnd: s.start}
	}
	return s
}

func (s *simulation) run() []Result {
	end := s.start.Add(s.pattern.Duration)
	for ; s.now.Before(end.Add(drainTime)); s.now = s.now.Add(tick) {
		s.advance()
		if s.now.Sub(s.start)%reportInterval == 0 {
			s.report()
		}
		if s.now.Before(end) {
			s.generateArrivals()
		}
	}
	return s.results
}

func (s *simulation) advance() {
	for _, id := range s.engineIDs {
		s.engines[id].advance(s.now,
			func(r *request) { s.policies[r.entry].firstEvent(s.now, id, r) },
			func(r *request) {
				s.recordEnd(r)
				s.policies[r.entry].ended(s.now, id, r)
			})
	}
}

// recordEnd counts a request that ended.
func (s *simulation) recordEnd(r *request) {
	if r.firstEventAt.Sub(r.arrived) <= s.pattern.Kinds[r.kind].FirstEventTarget {
		s.results[r.kind].OnTime++
		return
	}
	s.results[r.kind].Late++
}

func (s *simulation) report() {
	demand := 0.0
	for _, p := range s.policies {
		demand += p.demand()
	}
	for _, p := range s.policies {
		for _, id := range s.engineIDs {
			running, waiting := s.engines[id].load()
			p.report(s.now, id, running, waiting, demand)
		}
	}
}

// generateArrivals submits the requests of one tick.
func (s *simulation) generateArrivals() {
	for i, kind := range s.pattern.Kinds {
		s.pendingArrivals += s.pattern.RequestsPerSecond * kind.Share * s.rateFactor(i) * tick.Seconds()
		for ; s.pendingArrivals >= 1; s.pendingArrivals-- {
			s.submitRequest(s.drawKind())
		}
	}
}

// drawKind draws a kind by its current share of the requests.
func (s *simulation) drawKind() int {
	total := 0.0
	for i, kind := range s.pattern.Kinds {
		total += kind.Share * s.rateFactor(i)
	}
	point := s.rand.Float64() * total
	for i, kind := range s.pattern.Kinds {
		if point -= kind.Share * s.rateFactor(i); point < 0 {
			return i
		}
	}
	return len(s.pattern.Kinds) - 1
}

// rateFactor returns the current factor of a kind's request rate.
func (s *simulation) rateFactor(kind int) float64 {
	elapsed := s.now.Sub(s.start)
	p := &s.pattern
	if p.BurstFactor == 0 || kind != p.BurstKind || elapsed < p.BurstStart || elapsed >= p.BurstStart+p.BurstDuration {
		return 1
	}
	return p.BurstFactor
}

func (s *simulation) submitRequest(kind int) {
	k := s.pattern.Kinds[kind]
	size := minSizeFactor + sizeFactorRange*s.rand.Float64()
	s.nextID++
	s.results[kind].Submitted++
	r := &request{
		id: s.nextID, kind: kind, entry: s.rand.IntN(s.pattern.Entries), arrived: s.now,
		promptTokens: size * k.PromptTokens, eventsLeft: max(int(size*float64(k.MeanEvents)), 1),
	}
	s.policies[r.entry].submit(s.now, r)
}

// deliver sends a request to an engine, or counts it as refused if id is empty.
func (s *simulation) deliver(r *request, id string) {
	if id == "" {
		s.results[r.kind].Refused++
		return
	}
	s.engines[id].waiting = append(s.engines[id].waiting, r)
}
