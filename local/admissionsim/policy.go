package admissionsim

import (
	"math/rand/v2"
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// policy assigns the requests of one entry to engines.
type policy interface {
	submit(now time.Time, r *request)
	firstEvent(now time.Time, engineID string, r *request)
	ended(now time.Time, engineID string, r *request)
	// report passes on a report that arrives, for each engine every reportInterval.
	report(now time.Time, r loadReport)
	// demand returns the weighted number of waiting requests.
	demand() float64
}

// deliverFunc sends a request to an engine; an empty ID refuses the request.
type deliverFunc func(r *request, engineID string)

// poolPolicy is the policy under test: an admission.Pool.
type poolPolicy struct {
	pattern *Pattern
	pool    *admission.Pool
	waiting map[uint64]waitingRequest
	deliver deliverFunc
}

type waitingRequest struct {
	request      *request
	hardDeadline time.Time
}

const (
	// unloadedFirstEvent is the time to the first event of an engine with free
	// slots.
	unloadedFirstEvent = 120 * time.Millisecond
	// maxLateWait is how long a request may wait beyond its first-event target.
	maxLateWait = 600 * time.Millisecond
	// latencyCriticalTarget is the first-event target below which one long prompt
	// makes a request late.
	latencyCriticalTarget = 300 * time.Millisecond
	// eventInterval is the time between two events of a loaded engine.
	eventInterval = 50 * time.Millisecond
	loadedVersion = 1 // Version of the weights at every engine.
)

func newPoolPolicy(p *Pattern, config EngineConfig, engineIDs []string, start time.Time, seed uint64, deliver deliverFunc) *poolPolicy {
	pool := admission.NewPool(admission.Config{
		Region: "r", AgentReports: true, PrefillTokensPerSecond: config.PrefillTokensPerSecond, UseSlowdown: p.Speeds.Used, Rand: rand.New(rand.NewPCG(seed, 1)),
	})
	pool.SetEntryCount(p.Entries)
	var endpoints []admission.Endpoint
	for _, id := range engineIDs {
		endpoints = append(endpoints, admission.Endpoint{ID: id, Region: "r", Slots: config.Slots, LoadedVersion: loadedVersion})
	}
	pool.SetEndpoints(start.Add(-time.Second), endpoints)
	return &poolPolicy{pattern: p, pool: pool, waiting: make(map[uint64]waitingRequest), deliver: deliver}
}

func (p *poolPolicy) submit(now time.Time, r *request) {
	target := p.pattern.Kinds[r.kindIndex].FirstEventTarget
	req := &admission.Request{
		ID: r.id, Rank: r.kindIndex, ArrivedAt: now, PromptTokens: r.promptTokens, TotalTokens: r.promptTokens, LatencyCritical: target < latencyCriticalTarget,
		SoftDeadline: now.Add(max(target-unloadedFirstEvent, target/2)), HardDeadline: now.Add(target + maxLateWait),
		MeanFirstResponse:   unloadedFirstEvent,
		ExpectedServiceTime: unloadedFirstEvent + time.Duration(r.eventsLeft)*eventInterval,
	}
	switch d := p.pool.Submit(now, req); d.Verdict {
	case admission.Start:
		p.deliver(r, d.EndpointID)
	case admission.Enqueue:
		p.waiting[r.id] = waitingRequest{request: r, hardDeadline: req.HardDeadline}
	case admission.Refuse:
		p.deliver(r, "")
	}
}

func (p *poolPolicy) dispatch(now time.Time) {
	for _, assignment := range p.pool.Dispatch(now) {
		r := p.waiting[assignment.Request.ID].request
		delete(p.waiting, assignment.Request.ID)
		p.deliver(r, assignment.EndpointID)
	}
}

func (p *poolPolicy) firstEvent(now time.Time, engineID string, r *request) {
	p.pool.RecordProgress(now, engineID, r.id)
	p.dispatch(now)
}

func (p *poolPolicy) ended(now time.Time, engineID string, r *request) {
	p.pool.Done(now, engineID, r.id, admission.Served)
	p.dispatch(now)
}

func (p *poolPolicy) report(now time.Time, r loadReport) {
	p.pool.Report(r.engineID, admission.Report{
		ReceivedAt: now, Running: r.running, Waiting: r.waiting, LoadedVersion: loadedVersion, Demand: r.demand, Slowdown: r.slowdown, RoundTrip: p.pattern.ReportDelay,
	})
	for id, w := range p.waiting {
		if now.After(w.hardDeadline) && p.pool.Remove(id) {
			delete(p.waiting, id)
			p.deliver(w.request, "")
		}
	}
	p.dispatch(now)
}

func (p *poolPolicy) demand() float64 {
	return p.pool.Demand()
}

// fixedLimitPolicy is the baseline: a fixed concurrency limit for each engine, the
// least loaded engine first, and no queue.
type fixedLimitPolicy struct {
	limit     int
	engineIDs []string
	inFlight  map[string]int
	deliver   deliverFunc
}

func (p *fixedLimitPolicy) submit(_ time.Time, r *request) {
	best := ""
	for _, id := range p.engineIDs {
		if p.inFlight[id] < p.limit && (best == "" || p.inFlight[id] < p.inFlight[best]) {
			best = id
		}
	}
	if best != "" {
		p.inFlight[best]++
	}
	p.deliver(r, best)
}

func (p *fixedLimitPolicy) ended(_ time.Time, engineID string, _ *request) { p.inFlight[engineID]-- }

func (*fixedLimitPolicy) firstEvent(time.Time, string, *request) {}
func (*fixedLimitPolicy) report(time.Time, loadReport)           {}
func (*fixedLimitPolicy) demand() float64                        { return 0 }
