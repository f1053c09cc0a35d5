package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

// offerAndStart offers and starts calls of one rank.
func offerAndStart(t *testing.T, q *Queue, rank core.Rank, calls int) {
	t.Helper()
	for range calls {
		id := uint64(len(q.running) + q.backlog.len() + 1)
		_, err := q.Offer(epoch, Call{ID: id, Rank: rank, Organisation: "a"})
		assert.NilError(t, err)
		q.Next(epoch)
	}
}

func TestCreditsKeepGuaranteedSlots(t *testing.T) {
	config := simulationConfig()
	config.QueueAhead = 2
	q := NewQueue(config)
	assert.Equal(t, q.guaranteed, [core.RankCount]int{4, 2, 1})
	assert.Equal(t, q.Credits(1), [core.RankCount]int{10, 10, 10})
	assert.Equal(t, q.Credits(4), [core.RankCount]int{3, 3, 3})
	offerAndStart(t, q, core.RankUrgent, 12) // 8 run, 4 wait.
	assert.Equal(t, q.Credits(1), [core.RankCount]int{0, 4, 3})
	q = NewQueue(config)
	offerAndStart(t, q, core.RankBackground, 12)
	assert.Equal(t, q.Credits(1), [core.RankCount]int{9, 9, 0})
}

func TestCreditsCoverTheReportInterval(t *testing.T) {
	config := simulationConfig()
	config.QueueAhead = 2
	config.ReportInterval = 5 * simulationServiceTime
	q := NewQueue(config)
	assert.Equal(t, q.Credits(1)[core.RankNormal], simulationSlots+2+5*simulationSlots)
}

func TestRanksShareOneSlotByDeficit(t *testing.T) {
	config := simulationConfig()
	config.Slots = 1
	config.Policies[core.RankNormal].GuaranteedShare = 0
	slotRate := simulationRate / simulationSlots
	stats := simulate(t, config, []source{
		{rank: core.RankUrgent, organisation: "a", perSecond: 5 * slotRate},
		{rank: core.RankBackground, organisation: "a", perSecond: slotRate},
	})
	share := float64(stats[1].answered) / (slotRate * simulationTime.Seconds())
	assert.Assert(t, share > 0.15 && share < 0.25, "background got %v", share)
}

func TestSuspectsDoNotBlockOtherCalls(t *testing.T) {
	q := NewQueue(simulationConfig())
	id := uint64(0)
	offer := func(now time.Time, suspect bool) {
		id++
		_, err := q.Offer(now, Call{ID: id, Rank: core.RankNormal, Organisation: "a", Suspect: suspect})
		assert.NilError(t, err)
	}
	offer(epoch, true)
	offer(epoch, true)
	offer(epoch, false)
	c, _ := q.Next(epoch)
	assert.Equal(t, c.ID, uint64(3), "other calls start until the suspect has waited its limit")
	later := epoch.Add(defaultMaxSuspectWait)
	offer(later, false)
	_, ok := q.Next(later)
	assert.Assert(t, !ok, "no other call starts while the endpoint is reserved for the suspect")
	q.Done(later, 3)
	c, _ = q.Next(later)
	assert.Equal(t, c.ID, uint64(1))
	q.Done(later, 1)
	c, _ = q.Next(later)
	assert.Equal(t, c.ID, uint64(4), "other calls run between two suspects")
}

func BenchmarkNewTable(b *testing.B) {
	states := endpoints(64)
	var table *Table
	b.ReportAllocs()
	for b.Loop() {
		table = NewTable(TableConfig{Region: "dar"}, states, table)
	}
}
