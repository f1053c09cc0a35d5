package routing

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testPolicies() Policies {
	return Policies{
		{GuaranteedShare: 0.5, Patience: 2 * time.Second},
		{GuaranteedShare: 0.3, Patience: 4 * time.Second},
		{GuaranteedShare: 0.2, Patience: 8 * time.Second},
	}
}

// queueModel is the reference model: it tracks each call by its ID.
type queueModel struct {
	queue  *Queue
	config QueueConfig
	// guaranteed is drawn at random; the shares in config derive from it.
	guaranteed [core.RankCount]int
	now        time.Time
	nextID     uint64
	waiting    map[uint64]Call
	enqueuedAt map[uint64]time.Time
	running    map[uint64]Call
}

func (m *queueModel) removeWaiting(t *rapid.T, calls []Call) {
	for _, c := range calls {
		_, ok := m.waiting[c.ID]
		assert.Assert(t, ok, "call %d was returned but is not waiting", c.ID)
		delete(m.waiting, c.ID)
	}
}

func (m *queueModel) offer(t *rapid.T) {
	m.nextID++
	c := Call{
		ID:             m.nextID,
		Rank:           core.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		Organisation:   core.OrganisationID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")),
		Weight:         rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "weight"),
		ExpectedTokens: rapid.IntRange(0, 50).Draw(t, "tokens"),
		Resumable:      rapid.Bool().Draw(t, "resumable"),
		Suspect:        rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
	}
	evicted, err := m.queue.Offer(m.now, c)
	var shed *ShedError
	if errors.As(err, &shed) {
		assert.Assert(t, shed.RetryAfter >= minRetryAfter)
	} else {
		assert.NilError(t, err)
		m.waiting[c.ID] = c
		m.enqueuedAt[c.ID] = m.now
	}
	m.removeWaiting(t, evicted)
}

func (m *queueModel) runningByRank() (n [core.RankCount]int, suspects int) {
	for _, c := range m.running {
		n[c.Rank]++
		if c.Suspect {
			suspects++
		}
	}
	return n, suspects
}

func (m *queueModel) waitingByRank() (n [core.RankCount]int, suspects int) {
	for _, c := range m.waiting {
		if c.Suspect {
			suspects++
			continue
		}
		n[c.Rank]++
	}
	return n, suspects
}

// expectedRank is an independent implementation of the rule for the next rank.
func (m *queueModel) expectedRank() core.Rank {
	running, _ := m.runningByRank()
	waiting, _ := m.waitingByRank()
	for rank, n := range m.guaranteed {
		if waiting[rank] > 0 && running[rank] < n {
			return core.Rank(rank)
		}
	}
	for rank := range core.RankCount {
		if waiting[rank] > 0 {
			return core.Rank(rank)
		}
	}
	return core.RankCount
}

func (m *queueModel) startAll(t *rapid.T) {
	for {
		want := m.expectedRank()
		c, ok := m.queue.Next(m.now)
		if !ok {
			break
		}
		m.removeWaiting(t, []Call{c})
		if c.Suspect {
			assert.Equal(t, len(m.running), 0)
		} else {
			assert.Equal(t, c.Rank, want)
		}
		m.running[c.ID] = c
	}
	m.checkWorkConserving(t)
}

func (m *queueModel) checkWorkConserving(t *rapid.T) {
	_, suspectsRunning := m.runningByRank()
	waiting, suspectsWaiting := m.waitingByRank()
	ordinary := waiting[0] + waiting[1] + waiting[2]
	if suspectsRunning == 0 && suspectsWaiting == 0 && ordinary > 0 {
		assert.Equal(t, len(m.running), m.config.Slots)
	}
	if len(m.running) == 0 {
		assert.Equal(t, ordinary+suspectsWaiting, 0, "idle endpoint with waiting calls")
	}
}

func (m *queueModel) drawRunning(t *rapid.T) uint64 {
	for id := uint64(1); id <= m.nextID; id++ {
		if _, ok := m.running[id]; ok && rapid.Bool().Draw(t, "this") {
			return id
		}
	}
	return 0
}

func (m *queueModel) done(t *rapid.T) {
	id := m.drawRunning(t)
	m.queue.RecordTokens(id, rapid.IntRange(0, 100).Draw(t, "used"))
	m.queue.Done(m.now, id)
	delete(m.running, id)
}

func (m *queueModel) preempt(t *rapid.T) {
	id, ok := m.queue.Preempt(m.now)
	if !ok {
		return
	}
	c, known := m.running[id]
	assert.Assert(t, known && c.Resumable && !c.Suspect)
	running, _ := m.runningByRank()
	assert.Assert(t, running[c.Rank] > m.guaranteed[c.Rank])
	assert.Assert(t, m.queue.Requeue(m.now, id, c.ExpectedTokens))
	delete(m.running, id)
	m.waiting[id] = c
	m.enqueuedAt[id] = m.now
	m.startAll(t)
}

func (m *queueModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	m.removeWaiting(t, m.queue.Expire(m.now))
	for id, c := range m.waiting {
		waited := m.now.Sub(m.enqueuedAt[id])
		assert.Assert(t, waited < m.config.Policies[c.Rank].Patience, "call %d waited longer than its patience", id)
	}
}

func (m *queueModel) remove(t *rapid.T) {
	id := rapid.Uint64Range(0, m.nextID).Draw(t, "id")
	_, waiting := m.waiting[id]
	assert.Equal(t, m.queue.Remove(id), waiting)
	delete(m.waiting, id)
}

func (m *queueModel) check(t *rapid.T) {
	running, suspectsRunning := m.runningByRank()
	load := m.queue.Load()
	assert.Equal(t, load.Running, running)
	total := 0
	for _, n := range load.Waiting {
		total += n
	}
	assert.Equal(t, total, len(m.waiting))
	assert.Assert(t, total <= m.config.MaxWaiting)
	assert.Assert(t, len(m.running) <= m.config.Slots)
	if suspectsRunning > 0 {
		assert.Equal(t, len(m.running), 1)
	}
}

func TestQueueStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guaranteed := [core.RankCount]int{
			rapid.IntRange(1, 3).Draw(t, "urgent"),
			rapid.IntRange(0, 3).Draw(t, "normal"),
			rapid.IntRange(0, 2).Draw(t, "background"),
		}
		slots := guaranteed[0] + guaranteed[1] + guaranteed[2] + rapid.IntRange(0, 3).Draw(t, "shared")
		policies := testPolicies()
		for rank, n := range guaranteed {
			policies[rank].GuaranteedShare = float64(n) / float64(slots)
		}
		config := QueueConfig{
			Slots:              slots,
			Policies:           policies,
			MaxWaiting:         rapid.IntRange(4, 30).Draw(t, "max waiting"),
			InitialServiceTime: 100 * time.Millisecond,
		}
		m := &queueModel{
			queue:      NewQueue(config),
			config:     config,
			guaranteed: guaranteed,
			now:        epoch,
			waiting:    make(map[uint64]Call),
			enqueuedAt: make(map[uint64]time.Time),
			running:    make(map[uint64]Call),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"offer":   m.offer,
			"offer2":  m.offer,
			"offer3":  m.offer,
			"drain":   m.startAll,
			"done":    m.done,
			"preempt": m.preempt,
			"advance": m.advance,
			"remove":  m.remove,
		})
	})
}
