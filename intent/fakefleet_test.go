package intent_test

import (
	"fmt"
	"sort"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

const fakeFleetDomains = 3

// fakeFleet simulates agents that accept and carry out orders.
type fakeFleet struct {
	agents        map[core.InstanceID]*intent.AgentView
	pendingServes map[core.InstanceID]intent.Order
	nextIndex     int
}

func newFakeFleet(size int) *fakeFleet {
	f := &fakeFleet{
		agents:        make(map[core.InstanceID]*intent.AgentView),
		pendingServes: make(map[core.InstanceID]intent.Order),
	}
	for range size {
		f.add(f.nextIndex % fakeFleetDomains)
	}
	return f
}

func (f *fakeFleet) add(domain int) {
	id := core.InstanceID(fmt.Sprintf("i-%04d", f.nextIndex))
	f.nextIndex++
	f.agents[id] = &intent.AgentView{
		Instance: core.Instance{
			ID:   id,
			Role: core.RoleModel,
			Location: core.Location{
				Region:        fmt.Sprintf("r%d", domain),
				FailureDomain: fmt.Sprintf("f%d", domain),
				Rack:          fmt.Sprintf("k%d", f.nextIndex%2),
			},
		},
		Slots:   8,
		Healthy: true,
	}
}

func (f *fakeFleet) ids() []core.InstanceID {
	var ids []core.InstanceID
	for id := range f.agents {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (f *fakeFleet) view() intent.FleetView {
	var v intent.FleetView
	for _, id := range f.ids() {
		v.Agents = append(v.Agents, *f.agents[id])
	}
	return v
}

func (f *fakeFleet) replace(id core.InstanceID) {
	var domain int
	_, _ = fmt.Sscanf(f.agents[id].Instance.Location.Region, "r%d", &domain)
	delete(f.agents, id)
	delete(f.pendingServes, id)
	f.add(domain)
}

func (f *fakeFleet) accept(o intent.Order) {
	a := f.agents[o.Instance]
	switch o.Kind {
	case intent.OrderPrefetch:
		a.Fetching, a.ChunksHave, a.ChunksTotal = o.Model, 0, 4
	case intent.OrderServe:
		a.Swapping = true
		f.pendingServes[o.Instance] = o
	case intent.OrderDrain:
		a.Draining = true
	case intent.OrderResume:
		a.Draining = false
	}
}

// advance makes one agent fetch up to two chunks and finish its swap.
func (f *fakeFleet) advance(id core.InstanceID) {
	a := f.agents[id]
	a.ChunksHave = min(a.ChunksHave+2, a.ChunksTotal)
	if o, ok := f.pendingServes[id]; ok {
		a.Serving, a.Adapters, a.EngineRole = o.Model, o.Adapters, o.EngineRole
		a.Swapping = false
		delete(f.pendingServes, id)
	}
}

func (f *fakeFleet) converge(doc *fleet.Document) bool {
	for range 40 * (len(f.agents) + 1) {
		orders := intent.Reconcile(doc, f.view(), intent.ReconcileConfig{})
		busy := false
		for _, a := range f.agents {
			busy = busy || a.Swapping || a.ChunksHave < a.ChunksTotal
		}
		if len(orders) == 0 && !busy {
			return true
		}
		for _, o := range orders {
			f.accept(o)
		}
		for _, id := range f.ids() {
			f.advance(id)
		}
	}
	return false
}

func modelRef(model, version string) core.ModelRef {
	return core.ModelRef{Model: model, Version: version, Manifest: core.SumDigest([]byte(model + version))}
}
