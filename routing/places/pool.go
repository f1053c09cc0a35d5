package places

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// holdWeight is the weight of a new sample in the mean time of a place.
const holdWeight = 1.0 / 32

// Pool shares the endpoints of one service. It is not safe for concurrent use.
type Pool struct {
	config    Config
	endpoints map[string]*state
	order     []string // Sorted, so that equal seeds give equal choices.
	waiting   []*Ask
	// entries is the number of entries that share the endpoints.
	entries int
	// versions bounds which versions may begin a request; see Require.
	oldest uint64
	hold   time.Duration
	// used holds the recent use of each organisation, for fair turns.
	used   map[core.OrganisationID]float64
	usedAt time.Time
	// arrivals counts the asks of each rank.
	arrivals map[int]*arrivalRate
	lane     lane
}

// NewPool returns a pool without endpoints.
func NewPool(config Config) *Pool {
	config.setDefaults()
	return &Pool{
		config:    config,
		endpoints: make(map[string]*state),
		entries:   1,
		hold:      config.Hold,
		used:      make(map[core.OrganisationID]float64),
		arrivals:  make(map[int]*arrivalRate),
	}
}

// SetEndpoints replaces the endpoints. What is known of those that stay is
// kept.
func (p *Pool) SetEndpoints(now time.Time, list []Endpoint) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if s := p.endpoints[e.ID]; s != nil {
			s.Endpoint = e
			continue
		}
		p.endpoints[e.ID] = &state{Endpoint: e, since: now, own: make(map[uint64]place)}
	}
	for id := range p.endpoints {
		if !listed[id] {
			delete(p.endpoints, id)
		}
	}
	p.order = slices.Sorted(maps.Keys(p.endpoints))
	p.lane.setEndpoints(list)
}

// SetEntries sets how many entries share the endpoints.
func (p *Pool) SetEntries(n int) {
	p.entries = max(n, 1)
}

// Require sets the oldest version of the weights on which a request may begin;
// 0 stands for any, also for services without weights.
func (p *Pool) Require(version uint64) {
	p.oldest = version
}

// Report takes in the load of an endpoint.
func (p *Pool) Report(id string, r Report) {
	if s := p.endpoints[id]; s != nil {
		s.setReport(r)
		p.setQuota(s, r)
	}
}

// firstReport is how long the first report of an agent may take: until then
// the endpoint list, which may be from before a loss of power, is not relied
// on.
const firstReport = 400 * time.Millisecond

// usable reports whether an endpoint may begin a request at all.
func (p *Pool) usable(now time.Time, s *state) bool {
	if s.Draining || !s.health.usable(now, len(s.own)) {
		return false
	}
	if !p.config.Reported {
		return true
	}
	if s.report.Closed && now.Sub(s.report.At) <= p.config.ReportAge {
		return false
	}
	if s.report.At.IsZero() && now.Sub(s.since) < firstReport {
		return false
	}
	held := s.held(now, &p.config)
	return held != 0 && held >= p.oldest
}

// limit is the number of requests that an endpoint may have.
func (p *Pool) limit(s *state) float64 {
	return float64(s.Slots + p.config.Overfill)
}

const (
	// otherRegion is what another region costs in the choice, as a part of
	// all slots. Places there are taken when those here are nearly full.
	otherRegion = 0.25
	// spread is the random part of the choice: entries that saw the same
	// reports choose different endpoints.
	spread = 0.06
	// closingGain sends short requests to endpoints that will close, which
	// long ones avoid: so they have little left to end when they do.
	closingGain = 0.3
	// laneGain is what the lane of tight requests is worth to them, and what
	// it costs others.
	laneGain = 0.3
	// quietCost makes endpoints whose agent fell silent the last choice: it
	// may be the agent alone, or its whole instance.
	quietCost = 1.0
	// slowCost makes a slow endpoint the last choice.
	slowCost = 2.0
)

// crowd is how many requests of all entries one unreported request of this
// entry stands for. While there is room each entry finds a place of its own;
// the fewer places are free, the more entries send to the same ones.
func (p *Pool) crowd(now time.Time) float64 {
	if !p.config.Reported {
		return 1
	}
	_, free := p.Usable(now)
	entries := float64(p.entries)
	return min(max(entries*entries/float64(max(free, 1)), 1), entries)
}

// sharers is how many entries are likely to send prompts to an endpoint now:
// all of them while requests wait everywhere.
func (p *Pool) sharers(s *state) float64 {
	if s.quota.limited {
		return float64(p.entries)
	}
	return 1
}

// choose returns the endpoint with the most room, or nil.
func (p *Pool) choose(now time.Time, a *Ask) *state {
	var best *state
	bestScore := 0.0
	crowd := p.crowd(now)
	for _, id := range p.order {
		s := p.endpoints[id]
		if !p.usable(now, s) || slices.Contains(a.Without, id) {
			continue
		}
		load := s.load(now, &p.config, p.entries, crowd)
		closing := !s.report.ClosesAt.IsZero()
		if !s.quota.allows(now, s, &p.config) || load >= p.limit(s) || (closing && now.Add(a.Expected).After(s.report.ClosesAt)) {
			continue
		}
		reading := s.reading(&p.config, p.sharers(s))
		if reading > mostReading {
			continue
		}
		score := load/float64(s.Slots) + spread*p.config.Rand.Float64() + readingCost*reading.Seconds()
		if s.Region != p.config.Region {
			score += otherRegion
		}
		if s.slow(now, &p.config) {
			score += slowCost
		}
		if closing {
			score -= closingGain
		}
		if s.quiet(now, &p.config) {
			score += quietCost
		}
		score += p.laneCost(id, a)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// laneCost keeps tight requests in their lane and others off it, as long as
// there is room elsewhere.
func (p *Pool) laneCost(id string, a *Ask) float64 {
	switch {
	case !p.lane.has(id):
		return 0
	case a.Tight:
		return -laneGain
	default:
		return laneGain
	}
}

// Verdict is what becomes of an ask.
type Verdict uint8

// The verdicts.
const (
	// Start: the request goes to the endpoint now.
	Start Verdict = iota
	// Hold: the request waits in the pool.
	Hold
	// Refuse: there will be no room in time.
	Refuse
)

// Decision is the answer to an ask.
type Decision struct {
	Verdict  Verdict
	Endpoint string        // With Start.
	Wait     time.Duration // Expected wait, with Hold and Refuse.
	// Reason says why a request is refused.
	Reason Reason
	// Seen is what the choice of the endpoint rested on, with Start.
	Seen Seen
}

// Seen is what is believed of an endpoint at one moment.
type Seen struct {
	Load      float64       // Requests there, of all entries.
	ReportAge time.Duration // Age of the report behind it; -1 for none.
	Free      int           // Free places at all endpoints together.
}

// seenAt returns what is believed of an endpoint now.
func (p *Pool) seenAt(now time.Time, s *state) Seen {
	_, free := p.Usable(now)
	seen := Seen{Load: s.load(now, &p.config, p.entries, p.crowd(now)), ReportAge: -1, Free: free}
	if !s.report.At.IsZero() {
		seen.ReportAge = now.Sub(s.report.At)
	}
	return seen
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// ReasonNoEndpoint: no endpoint can serve at present.
	ReasonNoEndpoint Reason = "no endpoint can serve"
	// ReasonFull: a place would come too late.
	ReasonFull Reason = "no place in time"
	// ReasonExpired: the request waited as long as it was of use.
	ReasonExpired Reason = "waited too long for a place"
)

// Offer decides on a new request. A request that is held must end in Next,
// Remove or Expire.
func (p *Pool) Offer(now time.Time, a *Ask) Decision {
	p.noteArrival(now, a)
	if !p.blocked(now, a) {
		if s := p.choose(now, a); s != nil {
			seen := p.seenAt(now, s)
			p.start(now, s, a)
			return Decision{Verdict: Start, Endpoint: s.ID, Seen: seen}
		}
	}
	rate := p.rate(now)
	if rate == 0 && !p.anyListed() {
		return Decision{Verdict: Refuse, Reason: ReasonNoEndpoint, Wait: longestWait}
	}
	wait := p.expected(now, a, rate)
	if !a.Begun && now.Add(wait).After(a.GiveUp) {
		return Decision{Verdict: Refuse, Reason: ReasonFull, Wait: wait}
	}
	p.waiting = append(p.waiting, a)
	return Decision{Verdict: Hold, Wait: wait}
}

// longestWait is the longest wait that is told; a caller's request lives for
// a few seconds.
const longestWait = 5 * time.Second

// blocked reports whether requests that go first wait for a place that this
// one could take.
func (p *Pool) blocked(now time.Time, a *Ask) bool {
	for _, w := range p.waiting {
		if p.before(now, w, a) {
			return true
		}
	}
	return false
}

func (p *Pool) anyListed() bool {
	return len(p.endpoints) > 0
}

// rate estimates the places a second that come free for this entry.
func (p *Pool) rate(now time.Time) float64 {
	slots := 0
	for _, s := range p.endpoints {
		if p.usable(now, s) {
			slots += s.Slots
		}
	}
	return float64(slots) / p.hold.Seconds() / float64(p.entries)
}

// expected estimates how long an ask waits: the requests that go first, at the
// rate at which places come free.
func (p *Pool) expected(now time.Time, a *Ask, rate float64) time.Duration {
	if rate == 0 {
		return longestWait
	}
	ahead := 1
	for _, w := range p.waiting {
		if p.before(now, w, a) {
			ahead++
		}
	}
	wait := waitFor(ahead, p.left(now, rate, a.Rank))
	if !now.Add(wait).After(a.OnTimeUntil) || a.Begun {
		return wait
	}
	// It will be late, and then goes behind all that are on time, also those
	// that are still to come.
	return waitFor(len(p.waiting)+1, p.left(now, rate, maxRank))
}

// maxRank is beyond every rank.
const maxRank = math.MaxInt

// leastSpare is the part of the places that must be left by requests that go
// first for others to count on any.
const leastSpare = 0.05

// left returns the places a second that more urgent ranks leave.
func (p *Pool) left(now time.Time, rate float64, rank int) float64 {
	spare := rate
	for other, arrivals := range p.arrivals {
		if other < rank {
			spare -= arrivals.perSecond(now)
		}
	}
	if spare <= leastSpare*rate {
		return 0
	}
	return spare
}

// waitFor returns how long the last of n requests waits at a rate a second.
func waitFor(n int, rate float64) time.Duration {
	if rate <= 0 {
		return longestWait
	}
	return min(time.Duration(float64(n)/rate*float64(time.Second)), longestWait)
}

// noteArrival counts an ask.
func (p *Pool) noteArrival(now time.Time, a *Ask) {
	rate := p.arrivals[a.Rank]
	if rate == nil {
		rate = &arrivalRate{}
		p.arrivals[a.Rank] = rate
	}
	rate.add(now)
}

// before orders waiting asks: class, rank, organisations that used less, time.
func (p *Pool) before(now time.Time, a, b *Ask) bool {
	if ca, cb := a.class(now), b.class(now); ca != cb {
		return ca < cb
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Returned != b.Returned {
		return a.Returned
	}
	if a.Organisation != b.Organisation {
		if ua, ub := p.used[a.Organisation], p.used[b.Organisation]; ua != ub {
			return ua < ub
		}
	}
	return a.Arrived.Before(b.Arrived)
}

// Started is a waiting request that got its place.
type Started struct {
	Ask      *Ask
	Endpoint string
	Seen     Seen
}

// Next starts waiting requests while there is room.
func (p *Pool) Next(now time.Time) []Started {
	var started []Started
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(p.waiting, func(a, b *Ask) int {
		switch {
		case p.before(now, a, b):
			return -1
		case p.before(now, b, a):
			return 1
		default:
			return 0
		}
	})
	kept := p.waiting[:0]
	for _, a := range p.waiting {
		s := p.choose(now, a)
		if s == nil {
			kept = append(kept, a)
			continue
		}
		started = append(started, Started{Ask: a, Endpoint: s.ID, Seen: p.seenAt(now, s)})
		p.start(now, s, a)
	}
	p.waiting = kept
	return started
}

func (p *Pool) start(now time.Time, s *state, a *Ask) {
	s.own[a.ID] = place{sent: now, prompt: a.Prompt}
	s.quota.left--
	p.charge(now, a)
	p.lane.add(now, a)
}

// fairMemory is the time in which the counted use of an organisation halves.
const fairMemory = 2 * time.Second

func (p *Pool) charge(now time.Time, a *Ask) {
	if now.Sub(p.usedAt) >= fairMemory {
		for id := range p.used {
			p.used[id] /= 2
			if p.used[id] < 1 {
				delete(p.used, id)
			}
		}
		p.usedAt = now
	}
	p.used[a.Organisation] += max(a.Size, 1)
}

// Remove drops a waiting request and reports whether it was waiting.
func (p *Pool) Remove(id uint64) bool {
	at := slices.IndexFunc(p.waiting, func(a *Ask) bool { return a.ID == id })
	if at < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, at, at+1)
	return true
}

// Outcome is how a request at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Served: the endpoint answered, with whatever status.
	Served Outcome = iota
	// NotRun: the endpoint said that it did not run the request.
	NotRun
	// Broken: no answer, a broken one or one that is not the endpoint's.
	Broken
	// Silent: nothing came for long. It says nothing of an endpoint that goes
	// on with other requests.
	Silent
	// Left: the caller left; it says nothing of the endpoint.
	Left
)

// Done frees a place.
func (p *Pool) Done(now time.Time, endpoint string, id uint64, outcome Outcome) (setAside bool) {
	s := p.endpoints[endpoint]
	if s == nil {
		return false
	}
	placed, ok := s.own[id]
	if !ok {
		return false
	}
	delete(s.own, id)
	if s.seen(placed.sent, p.config.ReportLag) {
		s.ended++
		s.quota.left += p.round(min(p.share(s.report.Demand)*quotaBoost, 1))
	}
	switch outcome {
	case Served:
		s.health.success()
		p.hold += time.Duration(float64(now.Sub(placed.sent)-p.hold) * holdWeight)
	case NotRun:
		// It is full, or has lost what the list says it holds, whatever the
		// last report said. The next report counts again.
		s.report.At = now
		s.report.Running = max(s.report.Running, s.Slots+p.config.Overfill)
		s.report.Closed = p.config.Reported
	case Silent:
		if now.Sub(s.progress) <= aliveFor {
			return false
		}
		return s.health.failure(now)
	case Broken:
		return s.health.failure(now)
	case Left:
	}
	return false
}

// Held returns the version that an endpoint serves as far as is known, 0 for
// none.
func (p *Pool) Held(now time.Time, endpoint string) uint64 {
	if s := p.endpoints[endpoint]; s != nil {
		return s.held(now, &p.config)
	}
	return 0
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int {
	return len(p.waiting)
}

// Usable returns the endpoints that may begin requests, and their free slots
// by the last known load.
func (p *Pool) Usable(now time.Time) (endpoints, free int) {
	for _, s := range p.endpoints {
		if !p.usable(now, s) {
			continue
		}
		endpoints++
		free += max(s.Slots-int(s.load(now, &p.config, p.entries, 1)), 0)
	}
	return endpoints, free
}

// AnswerLoad takes in the load that an endpoint told in an answer. Endpoints
// with an agent report it themselves.
func (p *Pool) AnswerLoad(now time.Time, id string, running, waiting int) {
	if !p.config.Reported {
		p.Report(id, Report{At: now, Running: running, Waiting: waiting})
	}
}
