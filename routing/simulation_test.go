package routing

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

const (
	simulationTick        = 5 * time.Millisecond
	simulationServiceTime = 100 * time.Millisecond
	simulationSlots       = 8
	simulationTime        = 30 * time.Second
	callTokens            = 20
	// simulationRate is the endpoint's capacity in calls a second.
	simulationRate = simulationSlots * float64(time.Second) / float64(simulationServiceTime)
)

// source offers calls at a constant rate.
type source struct {
	rank         core.Rank
	organisation core.OrganisationID
	perSecond    float64
	resumable    bool
	due          float64 // Calls to offer, including the fraction of the next one.
}

// sourceStats counts the outcomes of one source's calls.
type sourceStats struct {
	offered, answered, shed int
	waits                   []time.Duration
}

func (s *sourceStats) ratio() float64 {
	return float64(s.answered) / float64(s.offered)
}

func (s *sourceStats) p95Wait() time.Duration {
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*95/100]
}

// simulation runs a Queue in fixed steps. Every call takes the same time, and a
// preempted call restarts.
type simulation struct {
	queue       *Queue
	now         time.Time
	nextID      uint64
	sourceIndex map[uint64]int
	offeredAt   map[uint64]time.Time
	endsAt      map[uint64]time.Time
	stats       []sourceStats
}

func newSimulation(config QueueConfig, sources int) *simulation {
	return &simulation{
		queue:       NewQueue(config),
		now:         epoch,
		sourceIndex: make(map[uint64]int),
		offeredAt:   make(map[uint64]time.Time),
		endsAt:      make(map[uint64]time.Time),
		stats:       make([]sourceStats, sources),
	}
}

func simulate(t *testing.T, config QueueConfig, sources []source) []sourceStats {
	t.Helper()
	s := newSimulation(config, len(sources))
	for s.now.Before(epoch.Add(simulationTime)) {
		s.step(t, sources)
	}
	return s.stats
}

func (s *simulation) step(t *testing.T, sources []source) {
	t.Helper()
	s.now = s.now.Add(simulationTick)
	s.finish()
	for _, c := range s.queue.Expire(s.now) {
		s.stats[s.sourceIndex[c.ID]].shed++
	}
	for i := range sources {
		sources[i].due += sources[i].perSecond * simulationTick.Seconds()
		for sources[i].due >= 1 {
			sources[i].due--
			s.offer(t, i, sources[i])
		}
	}
	s.start()
	for id, ok := s.queue.Preempt(s.now); ok; id, ok = s.queue.Preempt(s.now) {
		delete(s.endsAt, id)
		s.queue.Requeue(s.now, id, callTokens)
		s.start()
	}
}

func (s *simulation) offer(t *testing.T, index int, src source) {
	t.Helper()
	s.nextID++
	s.sourceIndex[s.nextID] = index
	s.offeredAt[s.nextID] = s.now
	s.stats[index].offered++
	c := Call{
		ID: s.nextID, Rank: src.rank, Organisation: src.organisation,
		ExpectedTokens: callTokens, Resumable: src.resumable,
	}
	evicted, err := s.queue.Offer(s.now, c)
	var shed *ShedError
	if eris.As(err, &shed) {
		s.stats[index].shed++
	} else {
		assert.NilError(t, err)
	}
	for _, e := range evicted {
		s.stats[s.sourceIndex[e.ID]].shed++
	}
}

func (s *simulation) start() {
	for c, ok := s.queue.Next(s.now); ok; c, ok = s.queue.Next(s.now) {
		s.endsAt[c.ID] = s.now.Add(simulationServiceTime)
		stats := &s.stats[s.sourceIndex[c.ID]]
		stats.waits = append(stats.waits, s.now.Sub(s.offeredAt[c.ID]))
	}
}

func (s *simulation) finish() {
	for _, id := range slices.Sorted(maps.Keys(s.endsAt)) {
		if s.endsAt[id].After(s.now) {
			continue
		}
		delete(s.endsAt, id)
		s.queue.RecordTokens(id, callTokens)
		s.queue.Done(s.now, id)
		s.stats[s.sourceIndex[id]].answered++
	}
}

func simulationConfig() QueueConfig {
	return QueueConfig{
		Slots:              simulationSlots,
		Policies:           testPolicies(),
		MaxWaiting:         200,
		InitialServiceTime: simulationServiceTime,
	}
}

func TestBackgroundFloodDoesNotDelayOtherRanks(t *testing.T) {
	for _, factor := range []float64{5, 10} {
		stats := simulate(t, simulationConfig(), []source{
			{rank: core.RankUrgent, organisation: "a", perSecond: 0.3 * simulationRate},
			{rank: core.RankNormal, organisation: "a", perSecond: 0.3 * simulationRate},
			{rank: core.RankBackground, organisation: "b", perSecond: factor * simulationRate},
		})
		assert.Assert(t, stats[0].ratio() > 0.98, "urgent %v", stats[0].ratio())
		assert.Assert(t, stats[1].ratio() > 0.98, "normal %v", stats[1].ratio())
		assert.Assert(t, stats[0].p95Wait() <= simulationServiceTime, "urgent waited %s", stats[0].p95Wait())
		t.Logf("x%v: background answered %d of %d, urgent p95 %s", factor, stats[2].answered, stats[2].offered, stats[0].p95Wait())
	}
}

func TestUrgentFloodKeepsGuaranteedShares(t *testing.T) {
	for _, factor := range []float64{5, 10} {
		stats := simulate(t, simulationConfig(), []source{
			{rank: core.RankUrgent, organisation: "a", perSecond: factor * simulationRate, resumable: true},
			{rank: core.RankNormal, organisation: "a", perSecond: 0.24 * simulationRate},
			{rank: core.RankBackground, organisation: "b", perSecond: 0.2 * simulationRate},
		})
		total := simulationRate * simulationTime.Seconds()
		assert.Assert(t, stats[1].ratio() > 0.95, "normal %v", stats[1].ratio())
		assert.Assert(t, float64(stats[2].answered) > 0.12*total, "background %d of %v", stats[2].answered, total)
		assert.Assert(t, float64(stats[0].answered) > 0.5*total, "urgent %d of %v", stats[0].answered, total)
		saturated := simulate(t, simulationConfig(), []source{
			{rank: core.RankUrgent, organisation: "a", perSecond: factor * simulationRate},
			{rank: core.RankNormal, organisation: "a", perSecond: simulationRate},
			{rank: core.RankBackground, organisation: "b", perSecond: simulationRate},
		})
		for i, p := range testPolicies() {
			share := float64(saturated[i].answered) / total
			assert.Assert(t, share > 0.97*p.GuaranteedShare, "rank %d got %v", i, share)
		}
		t.Logf("x%v: ratios %.3f %.3f %.3f", factor, stats[0].ratio(), stats[1].ratio(), stats[2].ratio())
	}
}

func TestUrgentPreemptsResumableBackground(t *testing.T) {
	stats := simulate(t, simulationConfig(), []source{
		{rank: core.RankBackground, organisation: "b", perSecond: 5 * simulationRate, resumable: true},
		{rank: core.RankUrgent, organisation: "a", perSecond: 0.3 * simulationRate},
	})
	assert.Assert(t, stats[1].p95Wait() <= simulationTick, "urgent waited %s", stats[1].p95Wait())
}

func TestLargeOrganisationDoesNotStarveSmallOnes(t *testing.T) {
	for _, limit := range []int{40, 200, 2000} {
		config := simulationConfig()
		config.MaxWaiting = limit
		sources := []source{{rank: core.RankNormal, organisation: "large", perSecond: 5 * simulationRate}}
		for _, id := range []core.OrganisationID{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			small := 5 * simulationRate / 81 // All small ones together offer a tenth of the load.
			sources = append(sources, source{rank: core.RankNormal, organisation: id, perSecond: small})
		}
		stats := simulate(t, config, sources)
		for _, small := range stats[1:] {
			assert.Assert(t, small.ratio() > 0.95, "limit %d: small answered %v", limit, small.ratio())
		}
		t.Logf("limit %d: large %.3f, small %.3f", limit, stats[0].ratio(), stats[1].ratio())
	}
}
