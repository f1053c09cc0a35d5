package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/snipestep/snipestep/routing/locality"
)

// localityState is what a pool knows about failure domains, for requests that may be sent outside
// that of the entry.
type localityState struct {
	router *locality.Router
	// domains are the names of the failure domains of listed endpoints, sorted; sums are in the
	// same order. Endpoints know their index.
	domains []string
	sums    []locality.Sums
	own     int // Index of the entry's failure domain, -1 if no endpoint is there.
	// ownUsable and ownSlots are the slots of the own failure domain, those that may be used and
	// all of endpoints that have or had weights.
	ownUsable, ownSlots int
	// ahead is the position of the request that Dispatch considers, 0 outside it.
	ahead int
	// ownWait is the expected wait in the own failure domain of the request for which an endpoint
	// is chosen, verdict the least restrictive reason that kept it so far.
	ownWait time.Duration
	verdict locality.Verdict
	left    bool
	cost    time.Duration
	// activity counts since TakeLocalityActivity.
	activity LocalityActivity
}

// LocalityActivity is what was decided about sending requests outside the failure domain since it
// was last taken.
type LocalityActivity struct {
	// Changes are the begins and ends of offers.
	Changes []locality.Change
	// Sent counts the requests, and SentKilobytes their expected bytes, by failure domain.
	Sent          map[string]int
	SentKilobytes map[string]float64
	// Kept counts the requests that were queued in their own failure domain, by the reason on
	// arrival.
	Kept map[locality.Verdict]int
	// Offered is the number of slots that this entry may use now, by failure domain.
	Offered map[string]float64
}

// endpointLocality is what the pool knows about an endpoint for the choice of a failure domain.
type endpointLocality struct {
	domain int // Index in localityState.domains.
	// hadWeights says that the endpoint has or had weights while it was listed.
	hadWeights bool
	// ended holds when the requests were sent that have ended and that no report covers.
	ended []time.Time
	// roundTrips holds the last round trips in whole milliseconds, 0 for none.
	roundTrips [10]time.Duration
	nextTrip   int
}

// maxTripLag bounds the part of a round trip that counts as the lag of reports: it is longer only
// over a link that is nearly cut.
const maxTripLag = 100 * time.Millisecond

// newLocality returns nil if the pool does not decide about failure domains. Only agents report
// loads often enough for it.
func newLocality(config *Config) *localityState {
	if !config.Locality.Enabled || !config.AgentReports {
		return nil
	}
	return &localityState{router: locality.NewRouter(config.Locality.FailureDomain, config.Locality.PricePerKB), own: -1}
}

// setDomains sets the failure domains of the listed endpoints.
func (p *Pool) setDomains(now time.Time) {
	l := p.locality
	if l == nil {
		return
	}
	names := make(map[string]bool)
	for _, endpoint := range p.endpoints {
		names[endpoint.FailureDomain] = true
	}
	l.domains = slices.Sorted(maps.Keys(names))
	l.sums = make([]locality.Sums, len(l.domains))
	l.router.SetDomains(l.domains)
	l.own = slices.Index(l.domains, p.config.Locality.FailureDomain)
	for _, endpoint := range p.endpoints {
		endpoint.locality.domain = slices.Index(l.domains, endpoint.FailureDomain)
	}
	p.updateLocality(now)
}

// recordReportForLocality records what a report says beyond the load.
func (p *Pool) recordReportForLocality(endpoint *endpointState, report Report) {
	if p.locality == nil {
		return
	}
	state := &endpoint.locality
	state.roundTrips[state.nextTrip] = report.RoundTrip
	state.nextTrip = (state.nextTrip + 1) % len(state.roundTrips)
	lag := p.coverLag(endpoint)
	state.ended = slices.DeleteFunc(state.ended, func(sentAt time.Time) bool { return endpoint.reportCovers(sentAt, lag) })
	p.updateLocality(report.ReceivedAt)
}

// recordEndForLocality records that a request ended.
func (p *Pool) recordEndForLocality(now time.Time, endpoint *endpointState, sentAt time.Time) {
	if p.locality == nil || endpoint.reportCovers(sentAt, p.coverLag(endpoint)) {
		return
	}
	// Older ones are covered by any report that is recent enough to count.
	state := &endpoint.locality
	state.ended = slices.DeleteFunc(state.ended, func(earlier time.Time) bool { return now.Sub(earlier) > p.config.MaxReportAge+maxTripLag })
	state.ended = append(state.ended, sentAt)
}

// coverLag returns how old a request has to be at the arrival of a report that includes it.
func (p *Pool) coverLag(endpoint *endpointState) time.Duration {
	return max(p.config.ReportLag, min(endpoint.report.RoundTrip, maxTripLag))
}

// leastRoundTrip returns the least of the last round trips, as each is in whole milliseconds and
// may contain a delay; 0 if none is known.
func (e *endpointLocality) leastRoundTrip() time.Duration {
	least := time.Duration(0)
	for _, trip := range e.roundTrips {
		if trip > 0 && (least == 0 || trip < least) {
			least = trip
		}
	}
	return least
}

// overdueFirstEvent is how long the first event of a stream may take, beyond the normal time, until
// the endpoint counts as owing it.
const overdueFirstEvent = 300 * time.Millisecond

// updateLocality computes the sums and the offers of all failure domains.
func (p *Pool) updateLocality(now time.Time) {
	l := p.locality
	clear(l.sums)
	l.ownUsable, l.ownSlots = 0, 0
	ownHeard, ownSilent, otherHeard := false, false, false
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id]
		state := &endpoint.locality
		state.hadWeights = state.hadWeights || endpoint.loadedVersionAt(now, &p.config) > 0
		reason := p.unavailability(now, endpoint)
		heard := endpoint.reportedRecently(now, &p.config)
		if state.domain == l.own {
			if state.hadWeights {
				l.ownSlots += endpoint.Slots
			}
			if state.hadWeights && usableSoon(reason) {
				l.ownUsable += endpoint.Slots
			}
			silent := endpoint.agentSilent(now, &p.config)
			ownSilent = ownSilent || silent
			ownHeard = ownHeard || !silent
		} else {
			otherHeard = otherHeard || heard
		}
		if reason != "" {
			continue
		}
		sums := &l.sums[state.domain]
		sums.Slots += endpoint.Slots
		if !heard {
			continue
		}
		sums.Free += max(endpoint.Slots-endpoint.report.Running-endpoint.report.Waiting, 0)
		lag, owes := p.coverLag(endpoint), false
		for _, req := range endpoint.inFlight {
			if !endpoint.reportCovers(req.sentAt, lag) {
				sums.Uncovered++
			}
			owes = owes || req.owesFirstEvent(now)
		}
		sums.Uncovered += len(state.ended)
		if owes {
			sums.Overdue++
		}
	}
	if ownSilent && !ownHeard && otherHeard {
		// A failure domain of which no agent is heard is as good as lost.
		l.ownUsable = 0
	}
	l.router.UpdateOwn(l.ownUsable, l.ownSlots)
	entries := p.entryCount
	if !p.entryCountKnown {
		entries = 0
	}
	l.router.Update(l.sums, entries)
}

// reportedRecently reports whether the report of an endpoint is recent enough for an offer. It may
// have waited for its whole round trip to be read, as in a process that stood still.
func (s *endpointState) reportedRecently(now time.Time, config *Config) bool {
	return now.Sub(s.report.ReceivedAt.Add(-s.report.RoundTrip)) <= config.MaxReportAge
}

// usableSoon reports whether an endpoint may get requests, or will be able to in a moment.
func usableSoon(reason Unavailability) bool {
	switch reason {
	case "", UnavailableNotRun, UnavailableClosed, UnavailableUnreported:
		return true
	default:
		return false
	}
}

// owesFirstEvent reports whether the first event of a stream is overdue.
func (r *inFlightRequest) owesFirstEvent(now time.Time) bool {
	return r.stream && !r.responseStarted && now.Sub(r.sentAt) > normalFirstResponse+overdueFirstEvent
}

// scope limits a choice to some endpoints.
type scope uint8

const (
	// everywhere: all endpoints, with a delay for those of other regions.
	everywhere scope = iota
	// everywhereAlike: all endpoints.
	everywhereAlike
	// soundOwn: those of the own failure domain that are neither slow nor silent.
	soundOwn
	// ownAndOffers: those of the own failure domain, and those to which the request may leave.
	ownAndOffers
)

// chooseByLocality is chooseEndpoint for pools that decide about failure domains.
func (p *Pool) chooseByLocality(now time.Time, req *Request, freeSlots int) *endpointState {
	l := p.locality
	l.left, l.verdict = false, locality.KeptNoOffer
	if req.Resumed || req.Moved {
		return p.chooseWithin(now, req, freeSlots, everywhere)
	}
	// Most requests start at home, by the sums of the last report.
	asked := !l.router.OwnIsTooSmall() && len(req.ExcludedEndpoints) == 0 && req.MinVersion <= p.minVersion
	if asked {
		if endpoint := p.chooseWithin(now, req, freeSlots, soundOwn); endpoint != nil {
			return endpoint
		}
	}
	p.updateLocality(now)
	if l.router.OwnIsTooSmall() || locality.TooSmallWithout(p.excludedOwnSlots(now, req), l.ownUsable, l.ownSlots) {
		return p.chooseWithin(now, req, freeSlots, everywhereAlike)
	}
	if !asked {
		if endpoint := p.chooseWithin(now, req, freeSlots, soundOwn); endpoint != nil {
			return endpoint
		}
	}
	l.ownWait = p.waitInOwnDomain(now, req)
	endpoint := p.chooseWithin(now, req, freeSlots, ownAndOffers)
	if endpoint != nil && endpoint.locality.domain != l.own {
		l.left = true
		l.cost = p.leaveCost(now, req, endpoint)
	}
	return endpoint
}

// excludedOwnSlots returns how many usable slots of the own failure domain a request may not use.
func (p *Pool) excludedOwnSlots(now time.Time, req *Request) int {
	excluded := 0
	if len(req.ExcludedEndpoints) == 0 && req.MinVersion <= p.minVersion {
		return 0
	}
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id]
		if endpoint.locality.domain != p.locality.own || !endpoint.locality.hadWeights || !usableSoon(p.unavailability(now, endpoint)) {
			continue
		}
		if slices.Contains(req.ExcludedEndpoints, id) || p.isOlderThan(now, endpoint, req.MinVersion) {
			excluded += endpoint.Slots
		}
	}
	return excluded
}

// isElsewhere reports whether a choice leaves an endpoint out by its failure domain alone.
func (p *Pool) isElsewhere(endpoint *endpointState, within scope) bool {
	return within == soundOwn && endpoint.locality.domain != p.locality.own
}

// inScope reports whether a choice may take an endpoint that can start the request now and for which
// isElsewhere is false.
func (p *Pool) inScope(now time.Time, req *Request, endpoint *endpointState, within scope) bool {
	l := p.locality
	switch within {
	case soundOwn:
		return !endpoint.muchSlower(now, &p.config) && !endpoint.agentSilent(now, &p.config)
	case ownAndOffers:
		if endpoint.locality.domain == l.own {
			return true
		}
		if !endpoint.reportedRecently(now, &p.config) {
			return false // It offers no slots.
		}
		verdict := l.router.MayLeave(endpoint.locality.domain, l.ownWait, p.leaveCost(now, req, endpoint))
		l.verdict = lessRestrictive(l.verdict, verdict)
		return verdict == locality.MayLeave
	case everywhere, everywhereAlike:
	}
	return true
}

// lessRestrictive returns the verdict that kept a request last: a request that is kept by its cost
// at one endpoint has a slot there.
func lessRestrictive(a, b locality.Verdict) locality.Verdict {
	order := []locality.Verdict{locality.MayLeave, locality.KeptByCost, locality.KeptPartUsed, locality.KeptNoOffer}
	if slices.Index(order, b) < slices.Index(order, a) {
		return b
	}
	return a
}

// muchSlower reports whether the endpoint is used only if no other has free slots.
func (s *endpointState) muchSlower(now time.Time, config *Config) bool {
	if config.UseSlowdown {
		return s.slowdown(now) > slowdownThreshold
	}
	return s.slow(now, config)
}

// leaveCost returns the wait that sending a request to an endpoint elsewhere has to save.
func (p *Pool) leaveCost(now time.Time, req *Request, endpoint *endpointState) time.Duration {
	return p.locality.router.Cost(endpoint.locality.leastRoundTrip(), endpoint.expectedFirstResponseDelay(now), req.Kilobytes)
}

// ownReleaseRate estimates how many slots per second of the own failure domain become free for this
// entry: as many as it uses there, at least its equal share. 0 if the own failure domain is too
// small, so that all count.
func (p *Pool) ownReleaseRate(now time.Time) float64 {
	l := p.locality
	if l == nil || l.router.OwnIsTooSmall() {
		return 0
	}
	used, share := 0.0, 0.0
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id]
		if endpoint.locality.domain != l.own || !p.eligible(now, endpoint) {
			continue
		}
		perRequest := 1 / endpoint.slowdown(now) / p.meanServiceTime.Seconds()
		usedHere, shareHere := perRequest*float64(len(endpoint.inFlight)), perRequest*float64(endpoint.Slots)/float64(p.entryCount)
		if limited, ok := p.limitedRate(endpoint); ok {
			usedHere, shareHere = min(usedHere, limited), min(shareHere, limited)
		}
		used += usedHere
		share += shareHere
	}
	return max(used, share)
}

// setPosition sets the position in the queue of the request that Dispatch considers, 0 after it: the
// list of waiting requests changes meanwhile.
func (p *Pool) setPosition(position int) {
	if p.locality != nil {
		p.locality.ahead = position
	}
}

// waitInOwnDomain estimates how long a request waits in the own failure domain.
func (p *Pool) waitInOwnDomain(now time.Time, req *Request) time.Duration {
	ahead := p.locality.ahead
	if ahead == 0 {
		ahead = 1
		for _, other := range p.waiting {
			if other != req && p.before(now, other, req) {
				ahead++
			}
		}
	}
	return queueWait(ahead, p.spareRate(now, p.ownReleaseRate(now), req.Rank, nil))
}

// unusedOffers returns how many requests this entry may start in other failure domains now.
func (p *Pool) unusedOffers(now time.Time) int {
	l := p.locality
	if l == nil || l.router.OwnIsTooSmall() {
		return 0
	}
	total := 0
	for i := range l.domains {
		unused := l.router.Unused(i)
		if i == l.own || unused == 0 {
			continue
		}
		startable := 0
		for _, id := range p.sortedIDs {
			endpoint := p.endpoints[id]
			if endpoint.locality.domain == i && p.eligible(now, endpoint) && endpoint.quota.allows(now, endpoint, &p.config) {
				startable += p.freeSlotsAt(now, endpoint)
			}
		}
		total += min(unused, startable)
	}
	return total
}

// aheadWithOffers returns the position of a request in the queue less the requests that this entry
// may start elsewhere, if the wait is worth the price of its bytes.
func (p *Pool) aheadWithOffers(now time.Time, req *Request, ahead int, releaseRate float64) int {
	if p.locality == nil || req.Regions != nil || queueWait(ahead, p.spareRate(now, releaseRate, req.Rank, nil)) <= p.locality.router.Cost(0, 0, req.Kilobytes) {
		return ahead
	}
	return max(ahead-p.unusedOffers(now), 1)
}

// recordStartForLocality counts a request that leaves. It follows the choice.
func (p *Pool) recordStartForLocality(endpoint *endpointState, req *Request) {
	l := p.locality
	if l == nil {
		return
	}
	l.router.RecordSent(endpoint.locality.domain)
	if !l.left {
		return
	}
	l.left = false
	if l.activity.Sent == nil {
		l.activity.Sent, l.activity.SentKilobytes = make(map[string]int), make(map[string]float64)
	}
	l.activity.Sent[endpoint.FailureDomain]++
	l.activity.SentKilobytes[endpoint.FailureDomain] += req.Kilobytes
}

// setKeptByQueue records that a request which goes before keeps one from starting.
func (p *Pool) setKeptByQueue() {
	if p.locality != nil {
		p.locality.verdict = locality.KeptByQueue
	}
}

// recordKept counts a request that is queued in the own failure domain. It follows a choice that
// found no endpoint.
func (p *Pool) recordKept() {
	l := p.locality
	if l == nil || l.router.OwnIsTooSmall() {
		return
	}
	verdict := l.verdict
	if verdict == locality.KeptNoOffer {
		verdict = p.verdictWithoutEndpoints()
	}
	if l.activity.Kept == nil {
		l.activity.Kept = make(map[locality.Verdict]int)
	}
	l.activity.Kept[verdict]++
}

// verdictWithoutEndpoints returns what kept a request for which no endpoint elsewhere could be
// considered, as none that may take it had a slot.
func (p *Pool) verdictWithoutEndpoints() locality.Verdict {
	l := p.locality
	verdict := locality.KeptNoOffer
	for i := range l.domains {
		if i != l.own {
			verdict = lessRestrictive(verdict, l.router.MayLeave(i, maxExpectedWait, 0))
		}
	}
	if verdict == locality.MayLeave {
		return locality.KeptNoEndpoint
	}
	return verdict
}

// TakeLocalityActivity returns what was decided about sending requests outside the failure domain
// since the last call; ok is false if the pool does not decide about it.
func (p *Pool) TakeLocalityActivity() (activity LocalityActivity, ok bool) {
	l := p.locality
	if l == nil {
		return activity, false
	}
	activity, l.activity = l.activity, LocalityActivity{}
	activity.Changes = l.router.TakeChanges()
	activity.Offered = make(map[string]float64, len(l.domains))
	for i, name := range l.domains {
		if i != l.own {
			activity.Offered[name] = l.router.Offer(i)
		}
	}
	return activity, true
}
