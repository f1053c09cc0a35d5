package intent_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

var start = time.Unix(1, 0)

func convergedFleet(t *testing.T, size int) (*fakeFleet, *fleet.Document) {
	t.Helper()
	f := newFakeFleet(size)
	doc := &fleet.Document{
		Generation: 1,
		Ranks:      []fleet.RankPolicy{{Rank: core.RankUrgent, GuaranteedShare: 0.5}},
		Placements: []fleet.Placement{{Model: modelRef("m", "v1")}},
	}
	assert.Assert(t, f.converge(doc))
	return f, doc
}

func makePlan(doc *fleet.Document, f *fakeFleet, in intent.Intent) (*intent.Plan, error) {
	return intent.MakePlan(doc, f.view(), in, start, "p")
}

func placeV2Intent() intent.Intent {
	return intent.Intent{Place: &intent.Place{Model: modelRef("m", "v2"), ModelBytes: 1000}}
}

func drainIntent(count int) intent.Intent {
	return intent.Intent{Drain: &intent.Drain{Selector: intent.Selector{Count: count}}}
}

func staleReason(t *testing.T, err error) intent.StaleReason {
	t.Helper()
	var stale *intent.StalePlanError
	assert.Assert(t, errors.As(err, &stale), "%v", err)
	return stale.Reason
}

func TestPlanMatchesReconcile(t *testing.T) {
	f, doc := convergedFleet(t, 9)
	plan, err := makePlan(doc, f, placeV2Intent())
	assert.NilError(t, err)
	next, err := intent.Confirm(plan, doc, f.view())
	assert.NilError(t, err)
	for i, wave := range plan.Waves {
		orders := intent.Reconcile(next, f.view(), intent.ReconcileConfig{})
		assert.Equal(t, len(orders), len(wave.Instances), "wave %d", i)
		for _, o := range orders {
			assert.Equal(t, o.Kind, wave.Steps[0].Kind)
			f.accept(o)
		}
		for _, id := range f.ids() {
			f.advance(id)
			f.advance(id)
		}
	}
	assert.Equal(t, len(intent.Reconcile(next, f.view(), intent.ReconcileConfig{})), 0)
	assert.Equal(t, plan.OriginBytes, int64(1000))
	assert.Equal(t, plan.RegionLinkBytes, int64(2000))
}

func TestConfirmRejectsStalePlans(t *testing.T) {
	f, doc := convergedFleet(t, 9)
	placePlan, err := makePlan(doc, f, placeV2Intent())
	assert.NilError(t, err)
	drainPlan, err := makePlan(doc, f, drainIntent(4))
	assert.NilError(t, err)

	newer := doc.Clone()
	newer.Generation, newer.Plan = 2, "winner"
	newer.History = []fleet.HistoryEntry{{Generation: 2, Plan: "winner"}}
	_, err = intent.Confirm(placePlan, newer, f.view())
	assert.Equal(t, staleReason(t, err), intent.StaleGeneration)
	var stale *intent.StalePlanError
	assert.Assert(t, errors.As(err, &stale))
	assert.Equal(t, stale.WinningPlan, "winner")

	replaced := 0
	named := make(map[core.InstanceID]bool)
	for _, id := range drainPlan.Waves[0].Instances {
		named[id] = true
	}
	for _, id := range f.ids() {
		if !named[id] && replaced < 2 {
			f.replace(id)
			replaced++
		}
	}
	_, err = intent.Confirm(drainPlan, doc, f.view())
	assert.Equal(t, staleReason(t, err), intent.StaleCapacity)
	_, err = intent.Confirm(placePlan, doc, f.view())
	assert.Equal(t, staleReason(t, err), intent.StaleInstances)
}

func TestMakePlanRejectsIntents(t *testing.T) {
	f, doc := convergedFleet(t, 9)
	var capacity *intent.CapacityError
	_, err := makePlan(doc, f, drainIntent(5))
	assert.Assert(t, errors.As(err, &capacity), "%v", err)

	acceptLess := drainIntent(5)
	acceptLess.Drain.AcceptLess = true
	plan, err := makePlan(doc, f, acceptLess)
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Warnings), 1)

	var noMatch *intent.NoMatchError
	_, err = makePlan(doc, f, intent.Intent{Drain: &intent.Drain{Selector: intent.Selector{Region: "nowhere"}}})
	assert.Assert(t, errors.As(err, &noMatch), "%v", err)
	_, err = makePlan(doc, f, intent.Intent{Resume: &intent.Resume{}})
	assert.Assert(t, errors.As(err, &noMatch), "%v", err)

	_, err = makePlan(doc, f, intent.Intent{Place: &intent.Place{Model: core.ModelRef{Model: "m", Version: "v"}}})
	assert.Assert(t, errors.Is(err, intent.ErrManifestMissing), "%v", err)

	var invalid *intent.IntentError
	_, err = makePlan(doc, f, intent.Intent{})
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
}

func TestPlanRoundTrip(t *testing.T) {
	f, doc := convergedFleet(t, 5)
	plan, err := makePlan(doc, f, placeV2Intent())
	assert.NilError(t, err)
	data, err := plan.Encode()
	assert.NilError(t, err)
	decoded, err := intent.DecodePlan(data)
	assert.NilError(t, err)
	reencoded, err := decoded.Encode()
	assert.NilError(t, err)
	assert.Equal(t, string(reencoded), string(data))
	_, err = intent.Confirm(decoded, doc, f.view())
	assert.NilError(t, err)
	_, err = intent.DecodePlan([]byte(`{"id":"p"}`))
	assert.ErrorIs(t, err, intent.ErrNoDocument)
}
