package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// domainLoad is a load on three failure domains: 12, 11 and 11 engines of 12 slots with 4, 4 and 3
// entries, requests of three ranks that take 1.52 s on average, and a report of each engine every
// 50 ms to the entries of its failure domain and every 0.2 s to the others.
type domainLoad struct {
	// loads are the requests of each failure domain, as a part of what its engines can serve.
	loads       [3]float64
	enabled     bool
	price       time.Duration
	reportDelay time.Duration
	// unevenDelay makes the reports that some entries get older by up to this much.
	unevenDelay time.Duration
	// lost is the fraction of the reports that are lost.
	lost float64
	// duration is simDuration if it is 0.
	duration time.Duration
	// drained is a failure domain that is evacuated, -1 for none.
	drained int
	// cut is a failure domain whose engines neither get requests nor send reports from simCutAt on,
	// -1 for none.
	cut int
}

// domainResult counts requests, by failure domain of their callers.
type domainResult struct {
	requests, left, onTime, refused [3]int
	// leftFor counts the requests that left, by failure domain of caller and engine.
	leftFor [3][3]int
	// beyondPart counts the requests that left while the part of the offer was used up, leftAfterCut
	// those for a failure domain that is cut since 0.75 s.
	beyondPart, leftAfterCut int
	// needless counts the requests that left although a sound endpoint of their own failure domain
	// could start them.
	needless int
	// reversals counts the windows of 0.5 s in which two failure domains sent one another requests.
	reversals, windows int
	// offerChanges counts the offers that began or ended at all entries.
	offerChanges int
}

// changes returns how many offers began or ended at an entry in a second.
func (r *domainResult) changes() float64 {
	return float64(r.offerChanges) / simEntries / (simDuration - simWarmUp).Seconds()
}

func (r *domainResult) share(counts [3]int) float64 {
	return float64(counts[0]+counts[1]+counts[2]) / float64(max(r.requests[0]+r.requests[1]+r.requests[2], 1))
}

const (
	simStep          = 5 * time.Millisecond
	simReport        = 200 * time.Millisecond
	simOwnReport     = 50 * time.Millisecond
	simDuration      = 24 * time.Second
	simWarmUp        = 4 * time.Second
	simCutAt         = 10 * time.Second
	simSlots         = 12
	simEntries       = 11
	simMeanService   = 1520 * time.Millisecond
	simOnTime        = 400 * time.Millisecond
	simFirstResponse = 80 * time.Millisecond
)

type simRequest struct {
	id       uint64
	req      *Request
	entry    *simEntry
	domain   int
	arrived  time.Time
	hard     time.Time
	duration time.Duration
	endsAt   time.Time
}

type simEngine struct {
	id      string
	domain  int
	running []*simRequest
	waiting []*simRequest
}

type simEntry struct {
	domain  int
	pool    *Pool
	delay   time.Duration
	waiting map[uint64]*simRequest
}

type simReportInTransit struct {
	at               time.Time
	entry            *simEntry
	engine           *simEngine
	running, waiting int
	demand           float64
}

// domainSimulation is one run.
type domainSimulation struct {
	load    domainLoad
	random  *rand.Rand
	now     time.Time
	engines []*simEngine
	byID    map[string]*simEngine
	entries []*simEntry
	reports []simReportInTransit
	nextID  uint64
	result  domainResult
	window  [3][3]int
}

func runDomains(load domainLoad, seed uint64) domainResult {
	s := &domainSimulation{load: load, random: rand.New(rand.NewPCG(seed, 9)), now: epoch, byID: make(map[string]*simEngine)}
	engineCounts, entryCounts := [3]int{12, 11, 11}, [3]int{4, 4, 3}
	var endpoints []Endpoint
	for domain, count := range engineCounts {
		for i := range count {
			e := &simEngine{id: fmt.Sprintf("%d-%02d", domain, i), domain: domain}
			s.engines = append(s.engines, e)
			s.byID[e.id] = e
			name := fmt.Sprint(domain)
			endpoints = append(endpoints, Endpoint{ID: e.id, Region: name, FailureDomain: name, Slots: simSlots, LoadedVersion: 1, Draining: domain == load.drained})
		}
	}
	for domain, count := range entryCounts {
		for range count {
			name := fmt.Sprint(domain)
			pool := NewPool(Config{
				Region: name, AgentReports: true, InitialServiceTime: simMeanService, Rand: rand.New(rand.NewPCG(seed, uint64(len(s.entries)))),
				Locality: LocalityConfig{Enabled: load.enabled, FailureDomain: name, PricePerKB: load.price},
			})
			pool.SetEntryCount(simEntries)
			pool.SetEndpoints(s.now.Add(-time.Second), endpoints)
			entry := &simEntry{domain: domain, pool: pool, waiting: make(map[uint64]*simRequest), delay: load.reportDelay}
			if load.unevenDelay > 0 {
				entry.delay += time.Duration(s.random.Int64N(int64(load.unevenDelay)))
			}
			s.entries = append(s.entries, entry)
		}
	}
	var due [3]float64
	duration := load.duration
	if duration == 0 {
		duration = simDuration
	}
	for s.now.Sub(epoch) < duration {
		s.finishRequests()
		s.report()
		for domain := range due {
			due[domain] += load.loads[domain] * float64(engineCounts[domain]*simSlots) / simMeanService.Seconds() * simStep.Seconds()
			for ; due[domain] >= 1; due[domain]-- {
				s.submit(domain)
			}
		}
		s.expire()
		if s.now.Sub(epoch)%(500*time.Millisecond) == 0 {
			s.endWindow()
		}
		s.now = s.now.Add(simStep)
	}
	return s.result
}

func (s *domainSimulation) isCut(domain int) bool {
	return domain == s.load.cut && s.now.Sub(epoch) > simCutAt
}

func (s *domainSimulation) finishRequests() {
	for _, e := range s.engines {
		ended := make([]*simRequest, 0, 2)
		e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool {
			done := !r.endsAt.After(s.now)
			if done {
				ended = append(ended, r)
			}
			return done
		})
		for len(e.running) < simSlots && len(e.waiting) > 0 {
			s.run(e, e.waiting[0])
			e.waiting = e.waiting[1:]
		}
		for _, r := range ended {
			r.entry.pool.Done(s.now, e.id, r.id, Served)
			s.dispatch(r.entry)
		}
	}
}

func (s *domainSimulation) run(e *simEngine, r *simRequest) {
	r.endsAt = s.now.Add(r.duration)
	e.running = append(e.running, r)
	r.entry.pool.RecordProgress(s.now, e.id, r.id)
	if s.now.Sub(epoch) > simWarmUp && s.now.Sub(r.arrived) <= simOnTime-simFirstResponse {
		s.result.onTime[r.domain]++
	}
}

func (s *domainSimulation) report() {
	demand := 0.0
	for _, entry := range s.entries {
		demand += entry.pool.Demand()
	}
	for i, e := range s.engines {
		if s.isCut(e.domain) {
			continue
		}
		sinceStart := s.now.Sub(epoch) + time.Duration(i)*simStep
		for _, entry := range s.entries {
			if entry.domain != e.domain && sinceStart%simReport != 0 || sinceStart%simOwnReport != 0 {
				continue
			}
			if s.load.lost > 0 && s.random.Float64() < s.load.lost {
				continue
			}
			s.reports = append(s.reports, simReportInTransit{at: s.now.Add(entry.delay), entry: entry, engine: e, running: len(e.running), waiting: len(e.waiting), demand: demand})
		}
	}
	s.reports = slices.DeleteFunc(s.reports, func(r simReportInTransit) bool {
		if r.at.After(s.now) {
			return false
		}
		trip := 4 * time.Millisecond
		r.entry.pool.Report(r.engine.id, Report{ReceivedAt: s.now, LoadedVersion: 1, Running: r.running, Waiting: r.waiting, RoundTrip: trip, Demand: r.demand})
		s.dispatch(r.entry)
		return true
	})
}

func (s *domainSimulation) submit(domain int) {
	var candidates []*simEntry
	for _, entry := range s.entries {
		if entry.domain == domain {
			candidates = append(candidates, entry)
		}
	}
	entry := candidates[s.random.IntN(len(candidates))]
	s.nextID++
	rank, draw := 2, s.random.Float64()
	switch {
	case draw < 0.43:
		rank = 0
	case draw < 0.67:
		rank = 1
	}
	duration := max(simMeanService+time.Duration(s.random.NormFloat64()*350)*time.Millisecond, 300*time.Millisecond)
	r := &simRequest{id: s.nextID, entry: entry, domain: domain, arrived: s.now, hard: s.now.Add(simOnTime - simFirstResponse), duration: duration}
	if s.now.Sub(epoch) > simWarmUp {
		s.result.requests[domain]++
	}
	req := &Request{ID: r.id, Rank: rank, ArrivedAt: s.now, SoftDeadline: r.hard, HardDeadline: r.hard, TotalTokens: 100, ExpectedServiceTime: simMeanService, Stream: true, Kilobytes: 3.5}
	r.req = req
	switch decision := entry.pool.Submit(s.now, req); decision.Verdict {
	case Start:
		s.send(r, decision.EndpointID, decision.Estimate)
	case Enqueue:
		entry.waiting[r.id] = r
	case Refuse:
		s.refuse(r)
	}
}

func (s *domainSimulation) refuse(r *simRequest) {
	if s.now.Sub(epoch) > simWarmUp {
		s.result.refused[r.domain]++
	}
}

func (s *domainSimulation) dispatch(entry *simEntry) {
	for _, a := range entry.pool.Dispatch(s.now) {
		r := entry.waiting[a.Request.ID]
		delete(entry.waiting, a.Request.ID)
		s.send(r, a.EndpointID, a.Estimate)
	}
}

func (s *domainSimulation) send(r *simRequest, engineID string, estimate LoadEstimate) {
	e := s.byID[engineID]
	if e.domain != r.domain && s.now.Sub(epoch) > simWarmUp {
		s.result.left[r.domain]++
		s.result.leftFor[r.domain][e.domain]++
		s.window[r.domain][e.domain]++
	}
	if e.domain != r.domain && e.domain == s.load.cut && r.domain != s.load.cut && s.now.Sub(epoch) > simCutAt+750*time.Millisecond {
		s.result.leftAfterCut++
	}
	if pool := r.entry.pool; estimate.Left {
		router := pool.locality.router
		state := pool.endpoints[engineID].locality
		pool.updateLocality(s.now)
		if pool.chooseWithin(s.now, r.req, pool.freeSlots(s.now, nil), soundOwn) != nil {
			s.result.needless++
		}
		if float64(pool.locality.sums[state.domain].Uncovered) > router.Offer(state.domain) {
			s.result.beyondPart++
		}
	}
	if s.isCut(e.domain) {
		return // The request is lost and never answered.
	}
	if len(e.running) < simSlots {
		s.run(e, r)
		return
	}
	e.waiting = append(e.waiting, r)
}

func (s *domainSimulation) expire() {
	for _, entry := range s.entries {
		for id, r := range entry.waiting {
			if s.now.After(r.hard) && entry.pool.Remove(id) {
				delete(entry.waiting, id)
				s.refuse(r)
			}
		}
	}
}

func (s *domainSimulation) endWindow() {
	if s.now.Sub(epoch) > simWarmUp {
		s.result.windows++
		for _, entry := range s.entries {
			if activity, ok := entry.pool.TakeLocalityActivity(); ok {
				s.result.offerChanges += len(activity.Changes)
			}
		}
		if s.window[0][1] > 0 && s.window[1][0] > 0 || s.window[0][2] > 0 && s.window[2][0] > 0 || s.window[1][2] > 0 && s.window[2][1] > 0 {
			s.result.reversals++
		}
	}
	s.window = [3][3]int{}
}

func noFault(loads [3]float64, enabled bool) domainLoad {
	return domainLoad{loads: loads, enabled: enabled, price: 500 * time.Microsecond, reportDelay: 5 * time.Millisecond, drained: -1, cut: -1}
}

// run is runDomains with a log of the result.
func (l domainLoad) run(t *testing.T, name string) domainResult {
	t.Helper()
	r := runDomains(l, 1)
	t.Logf("%s, loads %v, locality %v: left %.3f, on time %.3f, %d of %d windows with requests both ways, %.2f offers began or ended a second at an entry", name, l.loads, l.enabled, r.share(r.left), r.share(r.onTime), r.reversals, r.windows, r.changes())
	assert.Equal(t, r.beyondPart, 0)
	assert.Equal(t, r.needless, 0)
	return r
}

// Guards against requests that leave while their own failure domain has slots.
func TestCalmFailureDomainsKeepTheirRequests(t *testing.T) {
	r := noFault([3]float64{0.6, 0.6, 0.6}, true).run(t, "calm")
	assert.Equal(t, r.left, [3]int{})
}

// Guards against full failure domains that exchange their requests: fewer than one in twenty leave,
// and no fewer are on time than without the part.
func TestFullFailureDomainsKeepTheirRequests(t *testing.T) {
	off := noFault([3]float64{1.1, 1.2, 1.3}, false).run(t, "full")
	on := noFault([3]float64{1.1, 1.2, 1.3}, true).run(t, "full")
	assert.Assert(t, on.share(on.left) < 0.05)
	assert.Assert(t, on.share(on.onTime) >= off.share(off.onTime))
}

// Guards against a burst that is served much worse than without the part, and against other failure
// domains that send requests into it.
func TestBurstInOneFailureDomainUsesTheOthers(t *testing.T) {
	off := noFault([3]float64{0.6, 0.6, 1.9}, false).run(t, "burst")
	on := noFault([3]float64{0.6, 0.6, 1.9}, true).run(t, "burst")
	assert.Assert(t, on.share(on.onTime) >= off.share(off.onTime)-0.02)
	assert.Assert(t, on.share(on.left) < off.share(off.left))
	assert.Assert(t, 20*(on.leftFor[0][2]+on.leftFor[1][2]) < on.left[2], "%v", on.leftFor)
}

// Guards against entries that send requests back and forth because their reports are of different
// age: up to 0.4 s here.
func TestDifferentViewsDoNotOscillate(t *testing.T) {
	load := noFault([3]float64{0.97, 0.72, 0.94}, true)
	load.unevenDelay = 400 * time.Millisecond
	r := load.run(t, "uneven reports")
	assert.Assert(t, r.reversals*20 <= r.windows, "%d of %d", r.reversals, r.windows)
	assert.Assert(t, r.share(r.left) < 0.05)
	load.enabled = false
	off := load.run(t, "uneven reports")
	assert.Assert(t, r.share(r.onTime) >= off.share(off.onTime)-0.02)
}

// Guards against requests that are sent to an evacuated neighbour. The requests of its entries go
// to the others.
func TestEvacuatedNeighbourInABurstGetsNothing(t *testing.T) {
	load := noFault([3]float64{0.5, 0.4, 1.1}, true)
	load.drained = 1
	r := load.run(t, "evacuated neighbour")
	assert.Equal(t, r.leftFor[0][1]+r.leftFor[2][1], 0)
	assert.Equal(t, r.left[1], r.requests[1]-r.refused[1])
}

// Guards against requests that are sent over a link which is cut.
func TestCutFailureDomainGetsNothing(t *testing.T) {
	load := noFault([3]float64{0.5, 0.4, 1.5}, true)
	load.cut = 1
	r := load.run(t, "link cut")
	assert.Assert(t, r.leftFor[2][1] > 0)
	assert.Equal(t, r.leftAfterCut, 0)
}

// Guards against entries that send more than their part of an offer, or requests that could start at
// home, for loads, delays and losses of reports in which no case above is.
func TestPartsHoldForRandomLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	left := 0
	for i := range 8 {
		load := noFault([3]float64{0.4 + random.Float64(), 0.4 + random.Float64(), 0.4 + 1.5*random.Float64()}, true)
		load.duration = simWarmUp + 3*time.Second
		load.price = time.Duration(random.Int64N(int64(5 * time.Millisecond)))
		load.reportDelay = time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		load.unevenDelay = time.Duration(1 + random.Int64N(int64(300*time.Millisecond)))
		load.lost = 0.3 * random.Float64()
		r := runDomains(load, uint64(i))
		assert.Equal(t, r.beyondPart, 0, "%+v", load)
		assert.Equal(t, r.needless, 0, "%+v", load)
		left += r.left[0] + r.left[1] + r.left[2]
	}
	assert.Assert(t, left > 100, "%d left", left)
}
