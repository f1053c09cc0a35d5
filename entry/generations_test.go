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

// rule is an intent that only changes the configuration.
func rule(kind string) intent.Intent {
	return intent.Intent{Rank: &intent.Rank{Rules: []fleet.RankRule{{Kind: kind, Rank: core.RankNormal}}}}
}

// awaitGeneration blocks until every program of the fleet holds at least a
// generation.
func (f *testFleet) awaitGeneration(g core.Generation) {
	f.t.Helper()
	for _, e := range f.entries {
		f.until("generation at the entries", func() bool { return e.Generation() >= g })
	}
	for _, a := range f.agents {
		f.until("generation at the agents", func() bool { return a.Generation() >= g })
	}
}

func (f *testFleet) checkGeneration(g core.Generation) {
	f.t.Helper()
	for _, e := range f.entries {
		assert.Assert(f.t, e.Generation() >= g, "an entry went back to %d", e.Generation())
	}
	for _, a := range f.agents {
		assert.Assert(f.t, a.Generation() >= g, "an agent went back to %d", a.Generation())
	}
}

// stored returns the generation in the key-value service.
func (f *testFleet) stored() core.Generation {
	f.t.Helper()
	kv := backing.NewHTTPKeyValue(backing.HTTPConfig{BaseURL: f.urls["kv"]})
	held, err := kv.Get(f.ctx, configuration.DocumentKey)
	assert.NilError(f.t, err)
	doc, err := fleet.DecodeDocument(held.Value)
	assert.NilError(f.t, err)
	return doc.Generation
}

func problemIn(t *testing.T, err error) problem.Problem {
	t.Helper()
	var failed *problem.Error
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return failed.Problem
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	f := newTestFleet(t, 1, 0, 2)
	f.awaitAgents()
	for round := range 4 {
		f.kv.SetDroppedResponseRatio(float64(round%2)/2, uint64(round))
		var plans [2]*intent.Plan
		var failures [2]error
		for i := range plans {
			plan, err := f.operator(i).Propose(f.ctx, rule([]string{"left", "right"}[i]))
			for err != nil {
				plan, err = f.operator(i).Propose(f.ctx, rule([]string{"left", "right"}[i]))
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
		refused := problemIn(t, failures[1-winner])
		assert.Assert(t, refused.Code == operator.CodeConflict || refused.Code == operator.CodePlanStale, refused.Code)
		assert.Equal(t, refused.Plan, plans[winner].ID)
		f.awaitGeneration(plans[winner].Generation + 1)
		assert.Equal(t, f.stored(), plans[winner].Generation+1)
	}
}

func TestOutageOfTheStoreRevertsNothing(t *testing.T) {
	f, v1 := serving(t, 2, 2)
	old := f.kv.Snapshot()
	f.carryOut(0, rule("accepted"))
	g := f.entries[0].Generation()
	f.awaitGeneration(g)
	pending, err := f.operator(1).Propose(f.ctx, rule("pending"))
	assert.NilError(t, err)

	f.kv.SetDown(true)
	_, err = f.operator(1).Confirm(f.ctx, pending.ID)
	assert.Equal(t, problemIn(t, err).Code, operator.CodeStoreUnavailable)
	f.addEntry(2)
	f.until("the new entry has the configuration", func() bool { return f.entries[2].Generation() == g })
	f.awaitEndpoints(2, v1, 2)
	for i := range f.entries {
		text, version := f.ask(i, "urgent", "outage", 5)
		assert.Equal(t, text, wholeAnswer("outage", version, 5))
	}
	f.checkGeneration(g)

	f.kv.Restore(old)
	f.kv.SetDown(false)
	f.until("the store is written forward", func() bool {
		f.checkGeneration(g)
		return f.stored() >= g
	})
	f.checkGeneration(g)
	f.carryOut(2, rule("later"))
	f.awaitGeneration(g + 1)
}
