package intent_test

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

func TestReconcileConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeFleet(rapid.IntRange(1, 24).Draw(t, "size"))
		doc := &fleet.Document{Placements: []fleet.Placement{{Model: modelRef("m", "v0")}}}
		drawID := func(t *rapid.T) core.InstanceID { return rapid.SampledFrom(f.ids()).Draw(t, "id") }
		t.Repeat(map[string]func(*rapid.T){
			"reconcile": func(t *rapid.T) { reconcileAndCheck(t, f, doc) },
			"rounds": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "rounds") {
					reconcileAndCheck(t, f, doc)
					advanceSome(t, f)
				}
			},
			"progress": func(t *rapid.T) { advanceSome(t, f) },
			"replace":  func(t *rapid.T) { f.replace(drawID(t)) },
			"health": func(t *rapid.T) {
				a := f.agents[drawID(t)]
				a.Healthy = !a.Healthy
			},
			"version": func(t *rapid.T) {
				i := rapid.IntRange(0, len(doc.Placements)-1).Draw(t, "placement")
				p := &doc.Placements[i]
				p.Model = modelRef(p.Model.Model, fmt.Sprintf("v%d", rapid.IntRange(0, 9).Draw(t, "v")))
			},
			"second model": func(t *rapid.T) {
				doc.Placements = doc.Placements[:1]
				if n := rapid.IntRange(0, len(f.agents)/2).Draw(t, "replicas"); n > 0 {
					doc.Placements = append(doc.Placements, fleet.Placement{Model: modelRef("n", "v0"), Replicas: n})
				}
			},
			"adapters": func(t *rapid.T) {
				doc.Placements[0].Adapters = rapid.SampledFrom([][]string{nil, {"a"}, {"a", "b"}}).Draw(t, "adapters")
			},
			"stop": func(t *rapid.T) {
				doc.Stops = nil
				if rapid.Bool().Draw(t, "some") {
					doc.Stops = []fleet.Stop{{Instances: []core.InstanceID{drawID(t)}, Drain: true}}
				}
			},
		})
		for _, id := range f.ids() {
			f.agents[id].Healthy = true
		}
		assert.Assert(t, f.converge(doc), "the fleet does not converge")
		checkConverged(t, f, doc)
	})
}

func advanceSome(t *rapid.T, f *fakeFleet) {
	for _, id := range f.ids() {
		if rapid.Bool().Draw(t, "moves") {
			f.advance(id)
		}
	}
}

// reconcileAndCheck applies one round of orders and checks that no model has more
// endpoints swapping than its budget allows.
func reconcileAndCheck(t *rapid.T, f *fakeFleet, doc *fleet.Document) {
	view := f.view()
	orders := intent.Reconcile(doc, view, intent.ReconcileConfig{})
	assert.Assert(t, reflect.DeepEqual(orders, intent.Reconcile(doc, view, intent.ReconcileConfig{})), "the same arguments give different orders")
	available, swapping := capacityByModel(f, doc)
	wasAvailable := make(map[core.InstanceID]bool)
	for _, a := range view.Agents {
		wasAvailable[a.Instance.ID] = a.Available()
	}
	swapsOrdered := make(map[string]int)
	for _, o := range orders {
		a := f.agents[o.Instance]
		if o.Kind == intent.OrderServe {
			assert.Assert(t, a.Serving == o.Model || a.Complete(o.Model), "%s swaps with incomplete weights", o.Instance)
			if wasAvailable[o.Instance] {
				swapsOrdered[a.Serving.Model]++
			}
		}
		f.accept(o)
	}
	for name, n := range swapsOrdered {
		bound := max(1, (available[name]+swapping[name])/4)
		assert.Assert(t, n+swapping[name] <= bound, "%s: %d swaps ordered, %d already swapping, %d available", name, n, swapping[name], available[name])
	}
}

// capacityByModel counts the endpoints of each model without those that operators
// stopped.
func capacityByModel(f *fakeFleet, doc *fleet.Document) (available, swapping map[string]int) {
	available, swapping = make(map[string]int), make(map[string]int)
	stopped := stoppedInstances(doc)
	for id, a := range f.agents {
		if stopped[id] {
			continue
		}
		if a.Available() {
			available[a.Serving.Model]++
		} else if a.Swapping && a.Serving.Model != "" {
			swapping[a.Serving.Model]++
		}
	}
	return available, swapping
}

func stoppedInstances(doc *fleet.Document) map[core.InstanceID]bool {
	stopped := make(map[core.InstanceID]bool)
	for _, s := range doc.Stops {
		stopped[s.Instances[0]] = true
	}
	return stopped
}

// checkConverged checks that the converged fleet matches the document.
func checkConverged(t *rapid.T, f *fakeFleet, doc *fleet.Document) {
	stopped := stoppedInstances(doc)
	serving := make(map[core.ModelRef]int)
	usable := 0
	for id, a := range f.agents {
		assert.Equal(t, a.Draining, stopped[id])
		if !stopped[id] {
			serving[a.Serving]++
			usable++
		}
	}
	if len(doc.Placements) == 2 {
		n := min(doc.Placements[1].Replicas, usable)
		assert.Equal(t, serving[doc.Placements[1].Model], n)
		usable -= n
	}
	assert.Equal(t, serving[doc.Placements[0].Model], usable)
}

func TestFirstPushLoadsAllEndpointsAtOnce(t *testing.T) {
	f := newFakeFleet(11)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: modelRef("m", "v1")}}}
	for _, o := range intent.Reconcile(doc, f.view(), intent.ReconcileConfig{}) {
		f.accept(o)
	}
	for _, id := range f.ids() {
		f.advance(id)
		f.advance(id)
	}
	orders := intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})
	assert.Equal(t, len(orders), 11)
	assert.Equal(t, orders[0].Kind, intent.OrderServe)
}

func TestPendingOrdersCountAgainstSwapBudget(t *testing.T) {
	f := newFakeFleet(12)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: modelRef("m", "v1")}}}
	assert.Assert(t, f.converge(doc))
	doc.Placements[0].Model = modelRef("m", "v2")
	for _, id := range f.ids() {
		a := f.agents[id]
		a.Fetching, a.ChunksHave, a.ChunksTotal = modelRef("m", "v2"), 1, 1
	}
	view := f.view()
	first := intent.Reconcile(doc, view, intent.ReconcileConfig{})
	assert.Equal(t, len(first), 3)
	domains := make(map[string]bool)
	for _, o := range first {
		domains[f.agents[o.Instance].Instance.Location.FailureDomain] = true
	}
	assert.Equal(t, len(domains), fakeFleetDomains)
	assert.Equal(t, len(intent.Reconcile(doc, view.WithPending(first), intent.ReconcileConfig{})), 0)
}

func TestReplacementServesModelShortOfReplicas(t *testing.T) {
	f := newFakeFleet(6)
	doc := &fleet.Document{Placements: []fleet.Placement{
		{Model: modelRef("m", "v1"), Replicas: 3},
		{Model: modelRef("n", "v1"), Replicas: 3},
	}}
	assert.Assert(t, f.converge(doc))
	var lost core.InstanceID
	for _, id := range f.ids() {
		if f.agents[id].Serving.Model == "n" {
			lost = id
		}
	}
	f.replace(lost)
	orders := intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Instance, core.InstanceID("i-0006"))
	assert.Equal(t, orders[0].Model.Model, "n")
}

func BenchmarkReconcile(b *testing.B) {
	f := newFakeFleet(600)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: modelRef("m", "v1")}}}
	f.converge(doc)
	doc.Placements[0].Model = modelRef("m", "v2")
	view := f.view()
	for b.Loop() {
		intent.Reconcile(doc, view, intent.ReconcileConfig{})
	}
}
