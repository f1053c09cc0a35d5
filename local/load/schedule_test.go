package load_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/scenario"
)

func allArrivals(s *scenario.Scenario) []load.Arrival {
	var all []load.Arrival
	schedule := load.NewSchedule(s)
	for arrival, ok := schedule.Next(); ok; arrival, ok = schedule.Next() {
		all = append(all, arrival)
	}
	return all
}

// unaffectedBy returns the arrivals that a flood of the rank must not change,
// without their IDs.
func unaffectedBy(all []load.Arrival, floodRank core.Rank) []load.Arrival {
	var unaffected []load.Arrival
	for _, arrival := range all {
		if arrival.Class != load.ClassModel || arrival.Rank != floodRank {
			arrival.ID = ""
			unaffected = append(unaffected, arrival)
		}
	}
	return unaffected
}

func drawScenario(t *rapid.T) *scenario.Scenario {
	s, err := scenario.Default()
	assert.NilError(t, err)
	s.Run.Seed = rapid.Int64Range(0, 1000).Draw(t, "seed")
	s.Load.Duration = 5 * time.Second
	s.Load.UrgentRPS = rapid.Float64Range(0, 40).Draw(t, "urgent")
	s.Load.LargeShare = rapid.Float64Range(0, 1).Draw(t, "large")
	s.Load.NormalRPS = 20
	s.Fleet.Organisations = rapid.IntRange(1, 12).Draw(t, "organisations")
	s.Faults.CrashRequests = rapid.IntRange(0, 4).Draw(t, "crashes")
	return s
}

func TestFloodDoesNotChangeOtherArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steady, flooded := drawScenario(t), &scenario.Scenario{}
		*flooded = *steady
		flooded.Flood = scenario.Flood{Enabled: true, Rank: core.RankNormal, Factor: 6, From: time.Second, Duration: 2 * time.Second}
		before, after := allArrivals(steady), allArrivals(flooded)
		assert.DeepEqual(t, unaffectedBy(before, core.RankNormal), unaffectedBy(after, core.RankNormal))
		assert.Assert(t, len(after) > len(before))
		for i := 1; i < len(after); i++ {
			assert.Assert(t, after[i-1].At <= after[i].At)
			assert.Assert(t, after[i].At < flooded.Load.Duration)
		}
	})
}

func TestArrivalSharesAndRates(t *testing.T) {
	s, err := scenario.Default()
	assert.NilError(t, err)
	s.Load.Duration = 100 * time.Second
	large, urgent, purchases := 0, 0, 0
	all := allArrivals(s)
	for _, arrival := range all {
		switch {
		case arrival.Class == load.ClassPurchase:
			purchases++
		case arrival.Rank == core.RankUrgent:
			urgent++
		}
		if arrival.Organisation.Large {
			large++
		}
	}
	assertWithin(t, float64(urgent), 1000, 0.15)
	assertWithin(t, float64(purchases), 500, 0.2)
	assertWithin(t, float64(large)/float64(len(all)), 0.7, 0.05)
}

func assertWithin(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, got > want*(1-tolerance) && got < want*(1+tolerance), "got %v, want %v", got, want)
}
