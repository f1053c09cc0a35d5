package admissionsim

import (
	"testing"

	"gotest.tools/v3/assert"
)

// baselineLimit is the best fixed limit per entry and engine on the users' test
// bench.
const baselineLimit = 5

const seedCount = 4

// rankTolerance is by how much the served share of a less urgent kind may exceed
// that of a more urgent one: deployments penalise a larger difference.
const rankTolerance = 0.05

func patternByName(t *testing.T, name string) Pattern {
	t.Helper()
	for _, p := range Patterns() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("pattern %q does not exist", name)
	return Pattern{}
}

func TestEveryRequestHasOneOutcome(t *testing.T) {
	for _, p := range Patterns() {
		for seed := range uint64(seedCount) {
			for _, got := range [][]Result{RunPolicy(p, seed), RunBaseline(p, seed, baselineLimit)} {
				for kind, o := range got {
					assert.Equal(t, o.OnTime+o.Late+o.Refused, o.Submitted, "%s, seed %d, %s", p.Name, seed, p.Kinds[kind].Name)
				}
			}
		}
	}
}

func TestRunIsDeterministicForASeed(t *testing.T) {
	p := patternByName(t, "steady flood")
	assert.DeepEqual(t, RunPolicy(p, 3), RunPolicy(p, 3))
}

// Pattern: three quarters of the capacity. Nothing is refused.
func TestCalmLoadIsServedOnTime(t *testing.T) {
	for seed := range uint64(seedCount) {
		for kind, o := range RunPolicy(patternByName(t, "calm"), seed) {
			assert.Assert(t, o.OnTimeShare() > 0.9, "seed %d, kind %d: %+v", seed, kind, o)
			assert.Assert(t, o.Refused*100 < o.Submitted, "seed %d, kind %d: %+v", seed, kind, o)
		}
	}
}

// Pattern: a steady load of 1.3 times the capacity, and a burst of the least urgent
// kind. The more urgent kinds are served first, and better than by the baseline.
func TestOverloadIsServedInOrderOfRank(t *testing.T) {
	for _, name := range []string{"steady flood", "background burst"} {
		for seed := range uint64(seedCount) {
			got, base := RunPolicy(patternByName(t, name), seed), RunBaseline(patternByName(t, name), seed, baselineLimit)
			for kind := range 2 {
				assert.Assert(t, got[kind].OnTimeShare() > base[kind].OnTimeShare(), "%s, seed %d, kind %d: %+v, baseline %+v", name, seed, kind, got, base)
				assert.Assert(t, got[kind].ServedShare() >= got[kind+1].ServedShare()-rankTolerance, "%s, seed %d: %+v", name, seed, got)
			}
		}
	}
}
