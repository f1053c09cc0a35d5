package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// chooseByUtilisation is the choice as it was before the score was a delay: its unit was the
// utilisation of an endpoint's slots, where a second of delay counted 4.0.
func (p *Pool) chooseByUtilisation(now time.Time, req *Request, freeSlots int) *endpointState {
	var best *endpointState
	bestScore := 0.0
	unreportedWeight := p.unreportedWeight(freeSlots)
	claimed := 0.0
	if !req.Resumed {
		claimed = p.urgentClaim(now, req.Rank)
	}
	for _, id := range p.sortedIDs {
		endpoint := p.endpoints[id]
		if !p.eligible(now, endpoint) || p.avoids(now, endpoint, req) || slices.Contains(req.ExcludedEndpoints, id) || p.isOlderThan(now, endpoint, req.MinVersion) {
			continue
		}
		load := endpoint.load(now, &p.config, p.entryCount, unreportedWeight)
		closing := endpoint.closing(now, &p.config)
		if !p.rateLimitAllowsAfter(now, endpoint, claimed) || !endpoint.quota.allows(now, endpoint, &p.config) || load >= p.capacity(endpoint) || (closing && now.Add(req.ExpectedServiceTime).After(endpoint.report.ClosesAt)) {
			continue
		}
		prefill := endpoint.prefillBacklog(&p.config, p.competingEntries(endpoint))
		if prefill > maxPrefillBacklog {
			continue
		}
		score := load/float64(endpoint.Slots) + 0.06*p.config.Rand.Float64() + 4.0*(prefill+max(endpoint.excessRoundTrip(), endpoint.expectedFirstResponseDelay(now))).Seconds()
		if endpoint.Region != p.config.Region {
			score += 0.25
		}
		if endpoint.slow(now, &p.config) {
			score += 2.0
		}
		if closing {
			score -= 0.3
		}
		if endpoint.agentSilent(now, &p.config) {
			score += 1.0
		}
		if p.partition.contains(id) {
			if req.LatencyCritical {
				score -= 0.3
			} else {
				score += 0.3
			}
		}
		if best == nil || score < bestScore {
			best, bestScore = endpoint, score
		}
	}
	return best
}

// randomPool returns a pool of up to 40 endpoints in all states that the score knows. Pools of
// the same seed are equal.
func randomPool(seed uint64) (*Pool, *rand.Rand) {
	random := rand.New(rand.NewPCG(seed, 2))
	p := NewPool(Config{Region: "r0", AgentReports: random.IntN(4) > 0, PrefillTokensPerSecond: 20_000, Rand: rand.New(rand.NewPCG(seed, 1))})
	var list []Endpoint
	for i := range 1 + random.IntN(40) {
		list = append(list, Endpoint{ID: fmt.Sprintf("e%02d", i), Region: fmt.Sprintf("r%d", random.IntN(3)), Slots: 4 + random.IntN(10), LoadedVersion: 1, Draining: random.IntN(20) == 0})
	}
	p.SetEndpoints(at(-10_000), list)
	p.SetEntryCount(1 + random.IntN(12))
	p.partition.criticalWork, p.partition.totalWork = random.Float64(), 1+random.Float64()
	requestID := uint64(1_000_000)
	for _, e := range list {
		if random.IntN(10) == 0 {
			continue
		}
		report := Report{ReceivedAt: at(-random.IntN(900)), LoadedVersion: uint64(random.IntN(8)), Running: random.IntN(e.Slots + 1), Waiting: random.IntN(2), Slowdown: random.Float64() * 3, RoundTrip: time.Duration(random.IntN(250)) * time.Millisecond, Closed: random.IntN(30) == 0}
		if random.IntN(5) == 0 {
			report.ClosesAt = at(random.IntN(2_000))
		}
		if random.IntN(4) == 0 {
			report.Demand = random.Float64() * 10
		}
		p.Report(e.ID, report)
		state := p.endpoints[e.ID]
		for range random.IntN(4) {
			requestID++
			state.inFlight[requestID] = inFlightRequest{sentAt: at(-random.IntN(600)), promptTokens: float64(random.IntN(1_500)), responseStarted: random.IntN(2) == 0}
		}
		if random.IntN(4) == 0 {
			state.firstResponse.add(at(-random.IntN(1_000)), time.Duration(random.IntN(900))*time.Millisecond)
		}
		if random.IntN(8) == 0 {
			p.RecordRateLimit(Incarnation{ID: e.ID}, RateLimitNotice{Limited: true, PerSecond: random.Float64() * 20, At: at(-random.IntN(500))})
		}
	}
	return p, random
}

// Guards against a change of the choice by the change of the score's unit: with all switches off
// each choice is the same for the same seed.
func TestScoreInSecondsChoosesAsScoreInUtilisation(t *testing.T) {
	chosen, none := 0, 0
	for seed := range uint64(3_000) {
		p, random := randomPool(seed)
		old, _ := randomPool(seed)
		for i := range 8 {
			now := at(i * random.IntN(20))
			req := newRequest(now, random.IntN(4))
			req.LatencyCritical = random.IntN(2) == 0
			req.Resumed = random.IntN(6) == 0
			req.ExpectedServiceTime = time.Duration(random.IntN(2_000)) * time.Millisecond
			req.PromptTokens = float64(random.IntN(2_000))
			if random.IntN(4) == 0 {
				req.ExcludedEndpoints = []string{"e00", "e03"}
			}
			endpoint := p.chooseEndpoint(now, req, p.freeSlots(now, nil))
			expected := old.chooseByUtilisation(now, req, old.freeSlots(now, nil))
			if expected == nil {
				none++
				assert.Assert(t, endpoint == nil, "seed %d, choice %d", seed, i)
				continue
			}
			chosen++
			assert.Assert(t, endpoint != nil, "seed %d, choice %d", seed, i)
			assert.Equal(t, endpoint.ID, expected.ID, "seed %d, choice %d", seed, i)
			p.start(now, endpoint, req)
			old.start(now, expected, req)
		}
	}
	assert.Assert(t, chosen > 10_000, "%d choices compared, %d without an endpoint", chosen, none)
}

// Guards against an endpoint without slots whose utilisation is not a number: no endpoint after it
// in the order of IDs would ever be chosen.
func TestTermThatIsNotANumberCountsAsZero(t *testing.T) {
	p := NewPool(Config{Region: "r"})
	p.SetEndpoints(at(0), []Endpoint{{ID: "a", Region: "other", Slots: 0}, {ID: "b", Region: "r", Slots: 4}})
	assert.Equal(t, p.chooseEndpoint(at(1), newRequest(at(1), 0), 4).ID, "b")
}
