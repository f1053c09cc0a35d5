package intent

import "github.com/snipestep/snipestep/core"

// WithPending returns the view as it will be once the agents took the given
// orders. The executor applies it for orders sent after an agent's report, so
// that Reconcile doesn't spend the same capacity twice.
func (v FleetView) WithPending(orders []Order) FleetView {
	byInstance := make(map[core.InstanceID][]Order)
	for _, o := range orders {
		byInstance[o.Instance] = append(byInstance[o.Instance], o)
	}
	out := FleetView{Agents: append([]AgentView(nil), v.Agents...)}
	for i := range out.Agents {
		for _, o := range byInstance[out.Agents[i].Instance.ID] {
			out.Agents[i] = accepted(out.Agents[i], o)
		}
	}
	return out
}

func accepted(a AgentView, o Order) AgentView {
	switch o.Kind {
	case OrderPrefetch:
		if a.Fetching != o.Model {
			a.Fetching = o.Model
			a.ChunksHave, a.ChunksTotal = 0, 0
		}
	case OrderServe:
		a.Swapping = a.Swapping || a.Serving != o.Model || !sameSet(a.Adapters, o.Adapters) || !matches(o.EngineRole, a.EngineRole)
	case OrderDrain:
		a.Draining = true
	case OrderResume:
		a.Draining = false
	}
	return a
}
