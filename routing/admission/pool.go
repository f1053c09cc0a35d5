package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// Pool assigns the requests of an entry to the endpoints of one service. It is
// not safe for concurrent use.
type Pool struct {
	config    Config
	endpoints map[string]*endpointState
	sortedIDs []string // Sorted, so that equal seeds give equal choices.
	waiting   []*Request
	// entryCount is the number of entries that share the endpoints.
	entryCount int
	// entryCountKnown says that entryCount was set.
	entryCountKnown bool
	// minVersion is the oldest version of the weights on which a request may
	// start.
	minVersion      uint64
	meanServiceTime time.Duration
	// usage is the decayed number of tokens of each organisation, for fair
	// sharing.
	usage          map[core.OrganisationID]float64
	usageDecayedAt time.Time
	// arrivalsByRank measures the arrival rate of each rank.
	arrivalsByRank map[int]*arrivalRate
	partition      latencyPartition
	// rateLimits holds the announced rate limits by endpoint ID.
	rateLimits     map[string]*rateLimit
	rateLimitShare RateLimitShare
	// rests holds the pauses that endpoints asked for by endpoint ID.
	rests map[string]*rest
	cold  coldEndpoints
	// suspended is how long the machine has been suspended since the process started.
	suspended time.Duration
	// tickedAt is the time of the last Tick, resumedAt that of the last one after a pause of the
	// process; zero if there was none.
	tickedAt, resumedAt time.Time
	// restrictedArrivals measures the arrival rates of requests that may use some regions only.
	restrictedArrivals map[restrictedClass]*restrictedArrivals
	// reserved lists the sets of regions that the request that is being placed may not use.
	reserved []*core.RegionSet
	// evacuating says that an endpoint is evacuated.
	evacuating bool
	// locality is nil if the pool does not decide about failure domains.
	locality *localityState
}

// NewPool returns a pool without endpoints.
func NewPool(config Config) *Pool {
	config.setDefaults()
	return &Pool{
		locality:        newLocality(&config),
		config:          config,
		endpoints:       make(map[string]*endpointState),
		entryCount:      1,
		meanServiceTime: config.InitialServiceTime,
		usage:           make(map[core.OrganisationID]float64),
		arrivalsByRank:  make(map[int]*arrivalRate),

		restrictedArrivals: make(map[restrictedClass]*restrictedArrivals),
		rateLimits:         make(map[string]*rateLimit),
		rests:              make(map[string]*rest),
	}
}

// SetEndpoints replaces the list of endpoints. The state of those that stay
// listed is kept.
func (p *Pool) SetEndpoints(now time.Time, endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	p.evacuating = false
	for _, e := range endpoints {
		listed[e.ID] = true
		p.evacuating = p.evacuating || e.Evacuated
		if known := p.endpoints[e.ID]; known != nil {
			known.Endpoint = e
			continue
		}
		p.endpoints[e.ID] = &endpointState{Endpoint: e, addedAt: now, inFlight: make(map[uint64]inFlightRequest)}
	}
	for id := range p.endpoints {
		if !listed[id] {
			delete(p.endpoints, id)
		}
	}
	p.expireRateLimits(now)
	p.expireRests(now)
	p.listCold(now)
	p.sortedIDs = slices.Sorted(maps.Keys(p.endpoints))
	p.partition.setEndpoints(endpoints)
	p.setDomains(now)
}

// SetEntryCount sets how many entries share the endpoints.
func (p *Pool) SetEntryCount(n int) {
	p.entryCount = max(n, 1)
	p.entryCountKnown = n > 0
}

// SetRateLimitShare sets the share of this entry in rate limits.
func (p *Pool) SetRateLimitShare(share RateLimitShare) {
	p.rateLimitShare = share
}

// ArrivalRate returns the number of requests per second of all ranks.
func (p *Pool) ArrivalRate(now time.Time) float64 {
	total := 0.0
	for _, arrivals := range p.arrivalsByRank {
		total += arrivals.perSecond(now)
	}
	return total
}

// SetMinVersion sets the oldest version of the weights on which a request may start.
// 0 allows any version, and is used for services without weights.
func (p *Pool) SetMinVersion(version uint64) {
	p.minVersion = version
}

// Report records the reported load of an endpoint. It returns false for a report that a
// newer one has overtaken, which is ignored.
func (p *Pool) Report(endpointID string, report Report) bool {
	endpoint := p.endpoints[endpointID]
	if endpoint == nil {
		return true
	}
	if report.Order != 0 && report.Order < endpoint.report.Order {
		return false
	}
	endpoint.setReport(report)
	p.recordReportedSlowdown(endpoint, report)
	p.setQuota(endpoint, report)
	p.applyColdStart(endpoint, report)
	p.recordReportForLocality(endpoint, report)
	return true
}

// Submit decides on a new request. An enqueued request leaves the pool by
// Dispatch or Remove.
func (p *Pool) Submit(now time.Time, req *Request) Decision {
	if !req.Requeued && !req.Stranded {
		p.recordArrival(now, req)
	}
	if decision, ok := p.TryStart(now, req); ok {
		return decision
	}
	releaseRate := p.slotReleaseRate(now, req.Regions)
	if releaseRate == 0 && len(p.endpoints) == 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoEndpoint, ExpectedWait: maxExpectedWait}
	}
	if p.unservable(now, req) {
		return Decision{Verdict: Refuse, Reason: ReasonNoEndpoint, ExpectedWait: unservableWait, Unavailable: p.unavailableTo(now, req.Regions)}
	}
	wait := p.expectedWait(now, req, releaseRate)
	if !req.goesFirst() && now.Add(wait).After(req.HardDeadline) {
		return Decision{Verdict: Refuse, Reason: p.refusalReason(now, req, releaseRate), ExpectedWait: wait, Unavailable: p.unavailableTo(now, req.Regions)}
	}
	p.waiting = append(p.waiting, req)
	p.recordKept()
	return Decision{Verdict: Enqueue, ExpectedWait: wait}
}

// TryStart starts a request if a slot is free for it now.
func (p *Pool) TryStart(now time.Time, req *Request) (Decision, bool) {
	if p.blockedByWaiting(now, req) {
		p.setKeptByQueue()
		return Decision{}, false
	}
	freeSlots := p.freeSlots(now, req.Regions)
	p.reserveRegions(now, req)
	endpoint := p.chooseEndpoint(now, req, freeSlots)
	p.releaseRegions()
	if endpoint == nil {
		return Decision{}, false
	}
	estimate := p.loadEstimate(now, endpoint, freeSlots)
	p.start(now, endpoint, req)
	return Decision{Verdict: Start, EndpointID: endpoint.ID, Estimate: estimate}, true
}

// refusalReason returns why no slot is expected in time.
func (p *Pool) refusalReason(now time.Time, req *Request, releaseRate float64) Reason {
	if releaseRate > 0 {
		return ReasonFull
	}
	if _, reason := p.earliestReturn(now, req.Regions); reason != "" {
		return reason
	}
	return ReasonFull
}

// start records that a request is sent to an endpoint.
func (p *Pool) start(now time.Time, endpoint *endpointState, req *Request) {
	endpoint.inFlight[req.ID] = inFlightRequest{sentAt: now, promptTokens: req.PromptTokens, organisation: req.Organisation, tokens: req.usage(), stream: req.Stream}
	endpoint.quota.remaining--
	p.takeToken(now, endpoint)
	p.chargeCold(now, endpoint, req.ID)
	p.addUsage(now, req)
	p.partition.add(now, req)
	p.recordStartForLocality(endpoint, req)
}

// usageHalfLife is the time after which the usage of an organisation is halved.
const usageHalfLife = 2 * time.Second

// addUsage adds the tokens of a request to the usage of its organisation.
func (p *Pool) addUsage(now time.Time, req *Request) {
	if now.Sub(p.usageDecayedAt) >= usageHalfLife {
		for id := range p.usage {
			p.usage[id] /= 2
			if p.usage[id] < 1 {
				delete(p.usage, id)
			}
		}
		p.usageDecayedAt = now
	}
	p.usage[req.Organisation] += req.usage()
}

// Reports reports whether the agent of an endpoint sends reports.
func (p *Pool) Reports(now time.Time, endpointID string) bool {
	endpoint := p.endpoints[endpointID]
	return endpoint != nil && now.Sub(endpoint.report.ReceivedAt) <= p.config.MaxReportAge
}

// LoadedVersion returns the version of the weights that is loaded at an endpoint as
// far as is known, 0 for none.
func (p *Pool) LoadedVersion(now time.Time, endpointID string) uint64 {
	if endpoint := p.endpoints[endpointID]; endpoint != nil {
		return endpoint.loadedVersionAt(now, &p.config)
	}
	return 0
}

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int {
	return len(p.waiting)
}

// freeSlots returns the number of free slots at all eligible endpoints of a set of regions,
// by their estimated load.
func (p *Pool) freeSlots(now time.Time, regions *core.RegionSet) int {
	free := 0
	for _, endpoint := range p.endpoints {
		if regions.Contains(endpoint.Region) && p.eligible(now, endpoint) {
			free += p.freeSlotsAt(now, endpoint)
		}
	}
	return free
}

// freeSlotsAt returns the number of free slots at an endpoint, at most as many as its rate
// limit or its coldness lets this entry use now.
func (p *Pool) freeSlotsAt(now time.Time, endpoint *endpointState) int {
	free := max(endpoint.Slots-int(endpoint.load(now, &p.config, p.entryCount, 1)), 0)
	if tokens, limited := p.coldTokens(now, endpoint); limited {
		free = int(max(min(tokens, float64(free)), 0))
	}
	if tokens, limited := p.limitedTokens(now, endpoint); limited {
		return int(min(tokens, float64(free)))
	}
	return free
}

// ReportResponseLoad records the load that a response carried. It is ignored where
// agents report the load.
func (p *Pool) ReportResponseLoad(now time.Time, endpointID string, running, waiting int) {
	if !p.config.AgentReports {
		p.Report(endpointID, Report{ReceivedAt: now, Running: running, Waiting: waiting})
	}
}
