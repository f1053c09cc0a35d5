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

func TestStatefulReconcile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel(rapid.IntRange(1, 24).Draw(t, "size"))
		doc := &fleet.Document{Placements: []fleet.Placement{{Model: ref("m", "v0")}}}
		drawID := func(t *rapid.T) core.InstanceID { return rapid.SampledFrom(f.ids()).Draw(t, "id") }
		t.Repeat(map[string]func(*rapid.T){
			"reconcile": func(t *rapid.T) { reconcileChecked(t, f, doc) },
			"rounds": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "rounds") {
					reconcileChecked(t, f, doc)
					progressSome(t, f)
				}
			},
			"progress": func(t *rapid.T) { progressSome(t, f) },
			"replace":  func(t *rapid.T) { f.replace(drawID(t)) },
			"health": func(t *rapid.T) {
				a := f.agents[drawID(t)]
				a.Healthy = !a.Healthy
			},
			"version": func(t *rapid.T) {
				i := rapid.IntRange(0, len(doc.Placements)-1).Draw(t, "placement")
				p := &doc.Placements[i]
				p.Model = ref(p.Model.Model, fmt.Sprintf("v%d", rapid.IntRange(0, 9).Draw(t, "v")))
			},
			"second model": func(t *rapid.T) {
				doc.Placements = doc.Placements[:1]
				if n := rapid.IntRange(0, len(f.agents)/2).Draw(t, "replicas"); n > 0 {
					doc.Placements = append(doc.Placements, fleet.Placement{Model: ref("n", "v0"), Replicas: n})
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
		assert.Assert(t, f.settle(doc), "does not converge")
		checkSettled(t, f, doc)
	})
}

func progressSome(t *rapid.T, f *fleetModel) {
	for _, id := range f.ids() {
		if rapid.Bool().Draw(t, "moves") {
			f.step(id)
		}
	}
}

// reconcileChecked applies one round of orders and checks that it leaves each
// model its capacity.
func reconcileChecked(t *rapid.T, f *fleetModel, doc *fleet.Document) {
	view := f.view()
	orders := intent.Reconcile(doc, view, intent.ReconcileConfig{})
	assert.Assert(t, reflect.DeepEqual(orders, intent.Reconcile(doc, view, intent.ReconcileConfig{})), "orders differ")
	available, swapping := capacityByModel(f, doc)
	wasAvailable := make(map[core.InstanceID]bool)
	for _, a := range view.Agents {
		wasAvailable[a.Instance.ID] = a.Available()
	}
	taken := make(map[string]int)
	for _, o := range orders {
		a := f.agents[o.Instance]
		if o.Kind == intent.OrderServe {
			assert.Assert(t, a.Serving == o.Model || a.Complete(o.Model), "%s swaps without its weights", o.Instance)
			if wasAvailable[o.Instance] {
				taken[a.Serving.Model]++
			}
		}
		f.take(o)
	}
	for name, n := range taken {
		bound := max(1, (available[name]+swapping[name])/4)
		assert.Assert(t, n+swapping[name] <= bound, "%s: %d swap beside %d of %d", name, n, swapping[name], available[name])
	}
}

// capacityByModel counts all instances but those that operators stopped.
func capacityByModel(f *fleetModel, doc *fleet.Document) (available, swapping map[string]int) {
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

// checkSettled compares the settled fleet with the document.
func checkSettled(t *rapid.T, f *fleetModel, doc *fleet.Document) {
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

func TestFirstPushLoadsAllAtOnce(t *testing.T) {
	f := newFleetModel(11)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: ref("m", "v1")}}}
	for _, o := range intent.Reconcile(doc, f.view(), intent.ReconcileConfig{}) {
		f.take(o)
	}
	for _, id := range f.ids() {
		f.step(id)
		f.step(id)
	}
	orders := intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})
	assert.Equal(t, len(orders), 11)
	assert.Equal(t, orders[0].Kind, intent.OrderServe)
}

func TestPendingOrdersKeepTheBudget(t *testing.T) {
	f := newFleetModel(12)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: ref("m", "v1")}}}
	assert.Assert(t, f.settle(doc))
	doc.Placements[0].Model = ref("m", "v2")
	for _, id := range f.ids() {
		a := f.agents[id]
		a.Fetching, a.ChunksHave, a.ChunksTotal = ref("m", "v2"), 1, 1
	}
	view := f.view()
	first := intent.Reconcile(doc, view, intent.ReconcileConfig{})
	assert.Equal(t, len(first), 3)
	domains := make(map[string]bool)
	for _, o := range first {
		domains[f.agents[o.Instance].Instance.Location.FailureDomain] = true
	}
	assert.Equal(t, len(domains), modelDomains)
	assert.Equal(t, len(intent.Reconcile(doc, view.WithPending(first), intent.ReconcileConfig{})), 0)
}

func TestReplacementTakesTheShortDeployment(t *testing.T) {
	f := newFleetModel(6)
	doc := &fleet.Document{Placements: []fleet.Placement{
		{Model: ref("m", "v1"), Replicas: 3},
		{Model: ref("n", "v1"), Replicas: 3},
	}}
	assert.Assert(t, f.settle(doc))
	var victim core.InstanceID
	for _, id := range f.ids() {
		if f.agents[id].Serving.Model == "n" {
			victim = id
		}
	}
	f.replace(victim)
	orders := intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Instance, core.InstanceID("i-0006"))
	assert.Equal(t, orders[0].Model.Model, "n")
}

func BenchmarkReconcile(b *testing.B) {
	f := newFleetModel(600)
	doc := &fleet.Document{Placements: []fleet.Placement{{Model: ref("m", "v1")}}}
	f.settle(doc)
	doc.Placements[0].Model = ref("m", "v2")
	view := f.view()
	for b.Loop() {
		intent.Reconcile(doc, view, intent.ReconcileConfig{})
	}
}
