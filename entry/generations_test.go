package entry

import (
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/problem"
)

// rankRuleIntent returns an intent that changes only the configuration.
func rankRuleIntent(kind string) intent.Intent {
	return intent.Intent{Rank: &intent.Rank{Rules: []fleet.RankRule{{Kind: kind, Rank: core.RankNormal}}}}
}

// awaitGeneration blocks until every entry and agent has at least the given
// generation.
func (f *testFleet) awaitGeneration(generation core.Generation) {
	f.t.Helper()
	for _, e := range f.entries {
		f.waitUntil("generation at the entries", func() bool { return e.Generation() >= generation })
	}
	for _, a := range f.agents {
		f.waitUntil("generation at the agents", func() bool { return a.Generation() >= generation })
	}
}

func (f *testFleet) checkGeneration(generation core.Generation) {
	f.t.Helper()
	for _, e := range f.entries {
		assert.Assert(f.t, e.Generation() >= generation, "an entry went back to %d", e.Generation())
	}
	for _, a := range f.agents {
		assert.Assert(f.t, a.Generation() >= generation, "an agent went back to %d", a.Generation())
	}
}

// storedGeneration returns the generation in the key-value service.
func (f *testFleet) storedGeneration() core.Generation {
	f.t.Helper()
	kv := backing.NewHTTPKeyValue(backing.HTTPConfig{BaseURL: f.urls["kv"]})
	stored, err := kv.Get(f.ctx, configuration.DocumentKey)
	assert.NilError(f.t, err)
	doc, err := fleet.DecodeDocument(stored.Value)
	assert.NilError(f.t, err)
	return doc.Generation
}

func problemOfError(t *testing.T, err error) problem.Problem {
	t.Helper()
	var failed *problem.Error
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return failed.Problem
}

func TestOneOfTwoConcurrentConfirmsSucceeds(t *testing.T) {
	f := newTestFleet(t, 1, 0, 2)
	f.awaitAgents()
	for round := range 4 {
		f.kv.SetDroppedResponseRatio(float64(round%2)/2, uint64(round))
		var plans [2]*intent.Plan
		var failures [2]error
		for i := range plans {
			plan, err := f.operator(i).Propose(f.ctx, rankRuleIntent([]string{"left", "right"}[i]))
			for err != nil {
				plan, err = f.operator(i).Propose(f.ctx, rankRuleIntent([]string{"left", "right"}[i]))
			}
			plans[i] = plan
		}
		var operators sync.WaitGroup
		for i, plan := range plans {
			operators.Go(func() { _, failures[i] = f.operator(i).Confirm(f.ctx, plan.ID) })
		}
		operators.Wait()
		winner := 0
		if failures[0] != nil {
			winner = 1
		}
		assert.NilError(t, failures[winner])
		refused := problemOfError(t, failures[1-winner])
		assert.Assert(t, refused.Code == operator.CodeConflict || refused.Code == operator.CodePlanStale, refused.Code)
		assert.Equal(t, refused.Plan, plans[winner].ID)
		f.awaitGeneration(plans[winner].Generation + 1)
		assert.Equal(t, f.storedGeneration(), plans[winner].Generation+1)
	}
}

func TestStoreOutageRevertsNoGeneration(t *testing.T) {
	f, v1 := newServingFleet(t, 2, 2)
	snapshot := f.kv.Snapshot()
	f.applyIntent(0, rankRuleIntent("accepted"))
	generation := f.entries[0].Generation()
	f.awaitGeneration(generation)
	pending, err := f.operator(1).Propose(f.ctx, rankRuleIntent("pending"))
	assert.NilError(t, err)

	f.kv.SetDown(true)
	_, err = f.operator(1).Confirm(f.ctx, pending.ID)
	assert.Equal(t, problemOfError(t, err).Code, operator.CodeStoreUnavailable)
	f.addEntry(2)
	f.waitUntil("the new entry has the configuration", func() bool { return f.entries[2].Generation() == generation })
	f.awaitEndpoints(2, v1, 2)
	for i := range f.entries {
		text, version := f.complete(i, "urgent", "outage", 5)
		assert.Equal(t, text, expectedText("outage", version, 5))
	}
	f.checkGeneration(generation)

	f.kv.Restore(snapshot)
	f.kv.SetDown(false)
	f.waitUntil("the key-value service holds the generation again", func() bool {
		f.checkGeneration(generation)
		return f.storedGeneration() >= generation
	})
	f.checkGeneration(generation)
	f.applyIntent(2, rankRuleIntent("later"))
	f.awaitGeneration(generation + 1)
}
