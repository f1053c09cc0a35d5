package routing

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

var (
	allOpen    = [core.RankCount]bool{true, true, true}
	noneQueued [core.RankCount]int
)

func overflowCapacity() Capacity {
	return Capacity{Slots: 8, MeanServiceTime: 100 * time.Millisecond, Guaranteed: [core.RankCount]float64{4, 2, 1}}
}

func TestOverflowSendsByRankAndOrganisation(t *testing.T) {
	o := NewOverflowQueue(testPolicies(), 0)
	calls := []Call{
		{ID: 1, Rank: core.RankBackground, Organisation: "large"},
		{ID: 2, Rank: core.RankNormal, Organisation: "large"},
		{ID: 3, Rank: core.RankNormal, Organisation: "large"},
		{ID: 4, Rank: core.RankNormal, Organisation: "small"},
		{ID: 5, Rank: core.RankUrgent, Organisation: "large"},
		{ID: 6, Rank: core.RankUrgent, Organisation: "small", Suspect: true},
	}
	for _, c := range calls {
		_, err := o.Offer(epoch, c, overflowCapacity(), noneQueued)
		assert.NilError(t, err)
	}
	c, ok := o.Next(epoch, [core.RankCount]bool{false, false, true})
	assert.Assert(t, ok && c.ID == 1, "only the background rank has credit")
	for _, want := range []uint64{5, 2, 4, 3, 6} {
		c, ok := o.Next(epoch, allOpen)
		assert.Assert(t, ok)
		assert.Equal(t, c.ID, want)
	}
	assert.Equal(t, o.Len(), 0)
}

func TestOverflowShedErrorHasRetryAfter(t *testing.T) {
	o := NewOverflowQueue(testPolicies(), 0)
	var shed *ShedError
	accepted := 0
	for id := range uint64(1000) {
		_, err := o.Offer(epoch, Call{ID: id, Rank: core.RankNormal, Organisation: "a"}, overflowCapacity(), noneQueued)
		if errors.As(err, &shed) {
			break
		}
		assert.NilError(t, err)
		accepted++
	}
	// 80 calls a second for three quarters of 4 s.
	assert.Equal(t, accepted, 240)
	assert.Equal(t, shed.Reason, ShedPatience)
	assert.Assert(t, shed.RetryAfter > time.Second && shed.RetryAfter < 2*time.Second, "%s", shed.RetryAfter)
	_, err := o.Offer(epoch, Call{ID: 2000, Rank: core.RankNormal, Organisation: "b"}, overflowCapacity(), noneQueued)
	assert.NilError(t, err, "the expected wait of another organisation is still short")
	assert.Equal(t, len(o.Expire(epoch.Add(4*time.Second))), accepted+1)
}

func TestFullOverflowShedsTheLargestBacklog(t *testing.T) {
	const limit = 10
	o := NewOverflowQueue(testPolicies(), limit)
	for id := range uint64(limit) {
		_, err := o.Offer(epoch, Call{ID: id, Rank: core.RankNormal, Organisation: "large"}, overflowCapacity(), noneQueued)
		assert.NilError(t, err)
	}
	evicted, err := o.Offer(epoch, Call{ID: 100, Rank: core.RankNormal, Organisation: "small"}, overflowCapacity(), noneQueued)
	assert.NilError(t, err)
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, evicted[0].Organisation, core.OrganisationID("large"))
	_, err = o.Offer(epoch, Call{ID: 101, Rank: core.RankNormal, Organisation: "large"}, overflowCapacity(), noneQueued)
	var shed *ShedError
	assert.Assert(t, errors.As(err, &shed) && shed.Reason == ShedFull)
	o.SetConfig(testPolicies(), 2)
	evicted, err = o.Offer(epoch, Call{ID: 102, Rank: core.RankUrgent, Organisation: "small"}, overflowCapacity(), noneQueued)
	assert.NilError(t, err)
	assert.Equal(t, len(evicted), limit-1)
	assert.Equal(t, o.Waiting(), [core.RankCount]int{1, 1, 0})
}
