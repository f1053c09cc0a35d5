package places

import (
	"maps"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
)

// Pool shares the endpoints of one service. It is not safe for concurrent use.
type Pool struct {
	config    Config
	endpoints map[string]*state
	order     []string // Sorted, so that equal seeds give equal choices.
	waiting   []*Ask
	// entries is the number of entries that share the endpoints.
	entries int
	// oldest is the oldest version on which a request may begin; see Require.
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

// Offer decides on a new request. A request that is held must end in Next or
// Remove.
func (p *Pool) Offer(now time.Time, a *Ask) Decision {
	p.noteArrival(now, a)
	if !p.blocked(now, a) {
		free := p.free(now)
		if s := p.choose(now, a, free); s != nil {
			seen := p.seenAt(now, s, free)
			p.start(now, s, a)
			return Decision{Verdict: Start, Endpoint: s.ID, Seen: seen}
		}
	}
	rate := p.rate(now)
	if rate == 0 && len(p.endpoints) == 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoEndpoint, Wait: longestWait}
	}
	wait := p.expected(now, a, rate)
	if !a.Begun && now.Add(wait).After(a.GiveUp) {
		return Decision{Verdict: Refuse, Reason: ReasonFull, Wait: wait}
	}
	p.waiting = append(p.waiting, a)
	return Decision{Verdict: Hold, Wait: wait}
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

// free returns the free slots of the endpoints that may begin requests, by the
// last known load.
func (p *Pool) free(now time.Time) int {
	free := 0
	for _, s := range p.endpoints {
		if p.usable(now, s) {
			free += max(s.Slots-int(s.load(now, &p.config, p.entries, 1)), 0)
		}
	}
	return free
}

// AnswerLoad takes in the load that an endpoint told in an answer. Endpoints
// with an agent report it themselves.
func (p *Pool) AnswerLoad(now time.Time, id string, running, waiting int) {
	if !p.config.Reported {
		p.Report(id, Report{At: now, Running: running, Waiting: waiting})
	}
}
