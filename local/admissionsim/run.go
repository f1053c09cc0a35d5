package admissionsim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	timeStep = 5 * time.Millisecond // Resolution of the simulated time.
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
	policies        []policy // By index of the entry.
	results         []Result // By index of the kind.
	nextID          uint64
	seed            uint64
	speedRand       *rand.Rand
	reports         []loadReport // On their way, in the order of arrival.
	pendingArrivals float64      // Arrivals that are due; the fraction is carried over.
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
		pattern: p, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), start: time.Unix(0, 0),
		engines: make(map[string]*engine), results: make([]Result, len(p.Kinds)),
	}
	s.now = s.start
	for i := range p.Engines {
		id := fmt.Sprintf("engine-%02d", i)
		s.engineIDs = append(s.engineIDs, id)
		s.engines[id] = &engine{config: typicalEngine(), passEnd: s.start, slowdown: 1}
	}
	return s
}

func (s *simulation) run() []Result {
	end := s.start.Add(s.pattern.Duration)
	for ; s.now.Before(end.Add(drainTime)); s.now = s.now.Add(timeStep) {
		s.drawSpeeds()
		s.advance()
		if s.now.Sub(s.start)%reportInterval == 0 {
			s.report()
		}
		s.deliverReports()
		if s.now.Before(end) {
			s.generateArrivals()
		}
	}
	return s.results
}

func (s *simulation) advance() {
	for _, id := range s.engineIDs {
		s.engines[id].advance(s.now,
			func(r *request) { s.policies[r.entryIndex].firstEvent(s.now, id, r) },
			func(r *request) {
				s.recordEnd(r)
				s.policies[r.entryIndex].ended(s.now, id, r)
			})
	}
}

// recordEnd counts a request that ended.
func (s *simulation) recordEnd(r *request) {
	if r.firstEventAt.Sub(r.arrivedAt) <= s.pattern.Kinds[r.kindIndex].FirstEventTarget {
		s.results[r.kindIndex].OnTime++
		return
	}
	s.results[r.kindIndex].Late++
}

func (s *simulation) report() {
	demand := 0.0
	for _, p := range s.policies {
		demand += p.demand()
	}
	if s.pattern.ReportDelay == 0 {
		for _, p := range s.policies {
			for _, id := range s.engineIDs {
				p.report(s.now, s.newReport(id, demand))
			}
		}
		return
	}
	for _, id := range s.engineIDs {
		s.reports = append(s.reports, s.newReport(id, demand))
	}
}

// generateArrivals submits the requests of one time step.
func (s *simulation) generateArrivals() {
	for i, kind := range s.pattern.Kinds {
		s.pendingArrivals += s.pattern.RequestsPerSecond * kind.Share * s.rateFactor(i) * timeStep.Seconds()
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
func (s *simulation) rateFactor(kindIndex int) float64 {
	elapsed := s.now.Sub(s.start)
	p := &s.pattern
	if p.BurstFactor == 0 || kindIndex != p.BurstKindIndex || elapsed < p.BurstStart || elapsed >= p.BurstStart+p.BurstDuration {
		return 1
	}
	return p.BurstFactor
}

func (s *simulation) submitRequest(kindIndex int) {
	kind := s.pattern.Kinds[kindIndex]
	size := minSizeFactor + sizeFactorRange*s.rand.Float64()
	s.nextID++
	s.results[kindIndex].Submitted++
	r := &request{
		id: s.nextID, kindIndex: kindIndex, entryIndex: s.rand.IntN(s.pattern.Entries), arrivedAt: s.now,
		promptTokens: size * kind.PromptTokens, eventsLeft: max(int(size*float64(kind.MeanEvents)), 1),
	}
	s.policies[r.entryIndex].submit(s.now, r)
}

// deliver sends a request to an engine, or counts it as refused if id is empty.
func (s *simulation) deliver(r *request, engineID string) {
	if engineID == "" {
		s.results[r.kindIndex].Refused++
		return
	}
	s.engines[engineID].waiting = append(s.engines[engineID].waiting, r)
}
