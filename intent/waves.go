package intent

import (
	"sort"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// maxWaves ends a simulation that does not converge.
const maxWaves = 10_000

// simulateWaves runs Reconcile against a view in which every order succeeds, so
// that the plan shows what the executor will do. The waves include the orders
// still outstanding from the document before the intent.
func (p Planner) simulateWaves(next *fleet.Document, view FleetView, in Intent) []Wave {
	if in.Kind() == KindRank {
		return nil
	}
	s := newSimulation(next, view)
	var waves []Wave
	for len(waves) < maxWaves {
		orders := ordersOfFirstKind(Reconcile(next, s.view(), p.ReconcileConfig))
		if len(orders) == 0 {
			return waves
		}
		waves = append(waves, s.runWave(orders))
	}
	return waves
}

// ordersOfFirstKind returns the orders of the same kind as the first.
func ordersOfFirstKind(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if o.Kind == orders[0].Kind {
			out = append(out, o)
		}
	}
	return out
}

type simulation struct {
	doc    *fleet.Document
	agents map[core.InstanceID]AgentView
}

// newSimulation treats running swaps as not started.
func newSimulation(doc *fleet.Document, view FleetView) *simulation {
	s := &simulation{doc: doc, agents: view.byID()}
	for id, agent := range s.agents {
		agent.Swapping = false
		s.agents[id] = agent
	}
	return s
}

func (s *simulation) view() FleetView {
	var v FleetView
	for _, a := range s.agents {
		v.Agents = append(v.Agents, a)
	}
	return v
}

// runWave starts the orders, records the remaining capacity and completes them.
func (s *simulation) runWave(orders []Order) Wave {
	var wave Wave
	for _, order := range orders {
		wave.Instances = append(wave.Instances, order.Instance)
		wave.addStep(order)
		s.agents[order.Instance] = afterStart(s.agents[order.Instance], order)
	}
	sort.Slice(wave.Instances, func(i, j int) bool { return wave.Instances[i] < wave.Instances[j] })
	wave.CapacityLeft = rankCapacities(s.doc, modelSlots(s.view().Agents))
	for _, order := range orders {
		s.agents[order.Instance] = afterCompletion(s.agents[order.Instance], order)
	}
	return wave
}

func (w *Wave) addStep(o Order) {
	for i := range w.Steps {
		step := &w.Steps[i]
		if step.Kind == o.Kind && step.Model == o.Model && step.EngineRole == o.EngineRole && sameSet(step.Adapters, o.Adapters) {
			step.Count++
			return
		}
	}
	w.Steps = append(w.Steps, Step{
		Kind:       o.Kind,
		Model:      o.Model,
		Adapters:   o.Adapters,
		EngineRole: o.EngineRole,
		Count:      1,
	})
}

func afterStart(a AgentView, o Order) AgentView {
	switch o.Kind {
	case OrderServe:
		a.Swapping = true
	case OrderDrain:
		a.Draining = true
	}
	return a
}

func afterCompletion(a AgentView, o Order) AgentView {
	switch o.Kind {
	case OrderPrefetch:
		a.Fetching = o.Model
		a.ChunksHave, a.ChunksTotal = 1, 1
	case OrderServe:
		a.Swapping, a.Draining = false, false
		a.Serving, a.Adapters = o.Model, o.Adapters
		if o.EngineRole != "" {
			a.EngineRole = o.EngineRole
		}
	case OrderResume:
		a.Draining = false
	}
	return a
}
