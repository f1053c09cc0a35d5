package admission

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing/sharedrate"
)

// coldEndpoints is what a pool knows about the coldness of the endpoints of a service that names
// a rate for cold ones.
type coldEndpoints struct {
	enabled bool
	rule    sharedrate.ColdRule
	// duration is how long an endpoint is cold after a start.
	duration time.Duration
	// entries is the number of entries that share the rate, 0 if it is unknown; share is
	// this entry's part and usable whether it may send anything to cold endpoints.
	entries int
	share   sharedrate.Allowance
	usable  bool
	// enabledAt is when the service first named a rate.
	enabledAt time.Time
	// storeUpSince is since when the store answers, zero while it does not.
	storeUpSince time.Time
	// states holds the state by endpoint ID, also of some that are not listed.
	states map[string]*coldState
}

// coldState is the state of one endpoint ID. It outlives the endpointState: reports name no
// start of which it could be told whether a record is newer.
type coldState struct {
	coldness sharedrate.Coldness
	// end and source are those of coldness.
	end    time.Time
	source sharedrate.Source
	// bucket is charged for every request and enforced while the endpoint is cold, so that
	// requests that were sent before the coldness was known count.
	bucket sharedrate.Bucket
	// unlistedAt is when the endpoint left the endpoint list, zero while it is listed.
	unlistedAt time.Time
	// toldCold is what ColdChanges told last.
	toldCold bool
}

// coldCharge is the charge of one request.
type coldCharge struct {
	taken float64
	// overdrawn says that the bucket held less than a request.
	overdrawn bool
}

// coldStateRetention is how long the state of an endpoint is kept that is not listed: the second
// to which the bound applies, and the time in which a list changes.
const coldStateRetention = 1300 * time.Millisecond

const (
	// agentSettleTime is how long an agent runs until it knows all entries.
	agentSettleTime = 2 * time.Second
	// reportRefresh is the interval of an agent's reports while nothing changes.
	reportRefresh = 200 * time.Millisecond
)

// SetColdStart sets the rule and the duration for cold endpoints. Without enabled no endpoint
// counts as cold.
func (p *Pool) SetColdStart(now time.Time, enabled bool, rule sharedrate.ColdRule, duration time.Duration) {
	c := &p.cold
	if enabled == c.enabled && rule == c.rule && duration == c.duration {
		return
	}
	if c.enabledAt.IsZero() {
		c.enabledAt = now
	}
	c.enabled, c.rule, c.duration = enabled, rule, duration
	c.share, c.usable = rule.Share(c.entries)
	for _, state := range c.states {
		state.end, state.source = state.coldness.End(duration)
	}
	p.listCold(now)
}

// SetColdEntries sets by how many entries the rate of a cold endpoint is divided, 0 if that is
// unknown.
func (p *Pool) SetColdEntries(n int) {
	p.cold.entries = n
	p.cold.share, p.cold.usable = p.cold.rule.Share(n)
}

// SetStoreUp records whether the store answers.
func (p *Pool) SetStoreUp(now time.Time, up bool) {
	switch {
	case !up:
		p.cold.storeUpSince = time.Time{}
	case p.cold.storeUpSince.IsZero():
		p.cold.storeUpSince = now
	}
}

// listCold gives the listed endpoints their state, applies their records, and drops the state of
// those that are no longer listed.
func (p *Pool) listCold(now time.Time) {
	c := &p.cold
	if !c.enabled {
		for _, endpoint := range p.endpoints {
			endpoint.cold = nil
		}
		c.states = nil
		return
	}
	if c.states == nil {
		c.states = make(map[string]*coldState)
	}
	for id, endpoint := range p.endpoints {
		state := c.states[id]
		if state == nil {
			// Entries that learn of a coldness at the same time send at different times.
			state = &coldState{bucket: sharedrate.NewBucket(now, p.config.Rand.Float64())}
			c.states[id] = state
		}
		state.unlistedAt = time.Time{}
		state.coldness.ApplyRecord(endpoint.ColdRecord)
		state.end, state.source = state.coldness.End(c.duration)
		endpoint.cold = state
	}
	for id, state := range c.states {
		switch {
		case p.endpoints[id] != nil:
		case state.unlistedAt.IsZero():
			state.unlistedAt = now
		case now.Sub(state.unlistedAt) > coldStateRetention && !now.Before(state.end):
			delete(c.states, id)
		}
	}
}

// applyColdStart applies what a report says about the start of its endpoint.
func (p *Pool) applyColdStart(endpoint *endpointState, report Report) {
	if endpoint.cold == nil {
		return
	}
	start := report.Start
	start.ReceivedAt = report.ReceivedAt
	endpoint.cold.coldness.ApplyStart(start)
	endpoint.cold.end, endpoint.cold.source = endpoint.cold.coldness.End(p.cold.duration)
}

// isCold reports whether an endpoint is cold, or may be since its agent is silent.
func (p *Pool) isCold(now time.Time, endpoint *endpointState) bool {
	return endpoint.cold != nil && (now.Before(endpoint.cold.end) || p.silentlyCold(now, endpoint))
}

// silentlyCold reports whether an endpoint counts as cold since its agent sends no reports.
func (p *Pool) silentlyCold(now time.Time, endpoint *endpointState) bool {
	if !p.config.AgentReports {
		return false
	}
	since := endpoint.addedAt
	if !endpoint.report.ReceivedAt.IsZero() {
		// The round trip contains the time that a report waited in the buffer of a process that
		// stood still: it does not tell that the endpoint has not restarted meanwhile.
		since = endpoint.report.ReceivedAt.Add(p.config.MaxReportAge - endpoint.report.RoundTrip)
		if !now.After(since) {
			return false
		}
	}
	silence := sharedrate.Silence{Since: since, StoreUpSince: p.cold.storeUpSince}
	return silence.Cold(now, &endpoint.cold.coldness, p.cold.duration)
}

// coldUnavailability returns UnavailableCold for a cold endpoint to which this entry may send
// nothing.
func (p *Pool) coldUnavailability(now time.Time, endpoint *endpointState) Unavailability {
	if !p.cold.usable && p.isCold(now, endpoint) {
		return UnavailableCold
	}
	return ""
}

// coldTokens returns how many requests this entry may send to a cold endpoint now; ok is false
// for a warm one.
func (p *Pool) coldTokens(now time.Time, endpoint *endpointState) (tokens float64, ok bool) {
	if !p.isCold(now, endpoint) {
		return 0, false
	}
	if !p.cold.usable {
		return 0, true
	}
	return endpoint.cold.bucket.Level(now, p.cold.share), true
}

// coldAllows reports whether an endpoint is warm or this entry may send it a request.
func (p *Pool) coldAllows(now time.Time, endpoint *endpointState) bool {
	tokens, cold := p.coldTokens(now, endpoint)
	return !cold || tokens >= 1
}

// chargeCold charges a request that is sent to an endpoint, whether it is cold or not.
func (p *Pool) chargeCold(now time.Time, endpoint *endpointState, requestID uint64) {
	if endpoint.cold == nil {
		return
	}
	bucket := &endpoint.cold.bucket
	overdrawn := bucket.Level(now, p.cold.share) < 1
	req := endpoint.inFlight[requestID]
	req.cold = coldCharge{taken: bucket.Take(now, p.cold.share), overdrawn: overdrawn}
	endpoint.inFlight[requestID] = req
}

// withdrawCold returns why a request must not be sent to the endpoint that was chosen for it,
// empty if it may: the endpoint has turned out to be cold since, and the request is beyond this
// entry's share. Its charge is given back.
func (p *Pool) withdrawCold(now time.Time, endpointID string, requestID uint64) Unavailability {
	endpoint := p.endpoints[endpointID]
	if endpoint == nil || !p.isCold(now, endpoint) {
		return ""
	}
	req := endpoint.inFlight[requestID]
	if p.cold.usable && !req.cold.overdrawn {
		return ""
	}
	endpoint.cold.bucket.GiveBack(req.cold.taken)
	req.cold.taken = 0
	if _, listed := endpoint.inFlight[requestID]; listed {
		endpoint.inFlight[requestID] = req
	}
	if !p.cold.usable {
		return UnavailableCold
	}
	return UnavailableColdLimited
}

// CheckCold returns why the request must not be sent to its endpoint, empty if it may. It is
// asked just before sending.
func (g *Grant) CheckCold() Unavailability {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	return g.gate.pool.withdrawCold(g.gate.now(), g.EndpointID, g.requestID)
}

// earliestReturn returns the time until the first endpoint of a set of regions ends its pause or
// its coldness, and the reason, empty if neither is known.
func (p *Pool) earliestReturn(now time.Time, regions *core.RegionSet) (wait time.Duration, reason Reason) {
	if restEnd, resting := p.earliestRestEnd(now, regions); resting {
		wait, reason = restEnd, ReasonResting
	}
	for _, endpoint := range p.endpoints {
		if endpoint.cold == nil || !regions.Contains(endpoint.Region) || p.unavailability(now, endpoint) != UnavailableCold {
			continue
		}
		if left := p.coldWait(now, endpoint); reason == "" || left < wait {
			wait, reason = left, ReasonCold
		}
	}
	return wait, reason
}

// coldWait returns the time until requests may be sent to an endpoint that gets nothing as it is
// cold.
func (p *Pool) coldWait(now time.Time, endpoint *endpointState) time.Duration {
	wait := endpoint.cold.end.Sub(now)
	if p.silentlyCold(now, endpoint) {
		wait = max(wait, reportRefresh)
	}
	if p.cold.entries == 0 {
		// An agent that started with this entry is settled by then.
		wait = min(wait, max(p.cold.enabledAt.Add(agentSettleTime).Sub(now), reportRefresh))
	}
	return max(wait, 0)
}

// ColdEndpoints returns the number of listed endpoints that count as cold.
func (p *Pool) ColdEndpoints(now time.Time) int {
	count := 0
	for _, endpoint := range p.endpoints {
		if p.isCold(now, endpoint) {
			count++
		}
	}
	return count
}

// ColdChange says that an endpoint counts as cold from now on, or no longer.
type ColdChange struct {
	EndpointID string
	Cold       bool
	Source     sharedrate.Source
	// Left is how much longer the endpoint stays cold, as far as is known.
	Left time.Duration
}

// ColdChanges returns what changed since the last call.
func (p *Pool) ColdChanges(now time.Time) []ColdChange {
	if !p.cold.enabled {
		return nil
	}
	var changes []ColdChange
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id]
		isCold := p.isCold(now, endpoint)
		if isCold == endpoint.cold.toldCold {
			continue
		}
		endpoint.cold.toldCold = isCold
		change := ColdChange{EndpointID: id, Cold: isCold, Source: endpoint.cold.source, Left: max(endpoint.cold.end.Sub(now), 0)}
		if change.Left == 0 {
			change.Source = sharedrate.SourceSilence
		}
		changes = append(changes, change)
	}
	return changes
}
