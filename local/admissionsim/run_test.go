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
			for _, results := range [][]Result{RunPolicy(p, seed), RunBaseline(p, seed, baselineLimit)} {
				for kind, result := range results {
					assert.Equal(t, result.OnTime+result.Late+result.Refused, result.Submitted, "%s, seed %d, %s", p.Name, seed, p.Kinds[kind].Name)
				}
			}
		}
	}
}

func TestRunIsDeterministicForASeed(t *testing.T) {
	p := patternByName(t, "steady flood")
	assert.DeepEqual(t, RunPolicy(p, 3), RunPolicy(p, 3))
}

// The load is three quarters of the capacity, so that hardly any request is refused.
func TestCalmLoadIsServedOnTime(t *testing.T) {
	for seed := range uint64(seedCount) {
		for kind, result := range RunPolicy(patternByName(t, "calm"), seed) {
			assert.Assert(t, result.OnTimeShare() > 0.9, "seed %d, kind %d: %+v", seed, kind, result)
			assert.Assert(t, result.Refused*100 < result.Submitted, "seed %d, kind %d: %+v", seed, kind, result)
		}
	}
}

// The patterns are a steady load of 1.3 times the capacity, and a burst of the least
// urgent kind. The more urgent kinds are served first, and better than by the
// baseline.
func TestOverloadIsServedInOrderOfRank(t *testing.T) {
	for _, name := range []string{"steady flood", "background burst"} {
		for seed := range uint64(seedCount) {
			policyResults, baselineResults := RunPolicy(patternByName(t, name), seed), RunBaseline(patternByName(t, name), seed, baselineLimit)
			for kind := range 2 {
				assert.Assert(t, policyResults[kind].OnTimeShare() > baselineResults[kind].OnTimeShare(), "%s, seed %d, kind %d: %+v, baseline %+v", name, seed, kind, policyResults, baselineResults)
				assert.Assert(t, policyResults[kind].ServedShare() >= policyResults[kind+1].ServedShare()-rankTolerance, "%s, seed %d: %+v", name, seed, policyResults)
			}
		}
	}
}
