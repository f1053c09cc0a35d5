package intent

import "github.com/snipestep/snipestep/core"

// WithPending returns the view as it will be once the agents accept the given
// orders. With the orders sent since an agent's last report applied, Reconcile
// does not take the same capacity out of service twice.
func (v FleetView) WithPending(orders []Order) FleetView {
	ordersByInstance := make(map[core.InstanceID][]Order)
	for _, o := range orders {
		ordersByInstance[o.Instance] = append(ordersByInstance[o.Instance], o)
	}
	out := FleetView{Agents: append([]AgentView(nil), v.Agents...)}
	for i := range out.Agents {
		for _, o := range ordersByInstance[out.Agents[i].Instance.ID] {
			out.Agents[i] = afterAcceptance(out.Agents[i], o)
		}
	}
	return out
}

func afterAcceptance(a AgentView, o Order) AgentView {
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
