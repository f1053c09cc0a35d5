package intent

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// The defaults of ReconcileConfig.
const (
	DefaultMaxUnavailableRatio = 0.25
	DefaultStreamGraceMS       = 10_000
)

// ReconcileConfig limits how many swaps Reconcile orders at once and how long
// streams may delay them.
type ReconcileConfig struct {
	// MaxUnavailableRatio is the fraction of a model's endpoints that may swap at
	// the same time, rounded down, but at least one endpoint.
	MaxUnavailableRatio float64
	// StreamGraceMS is how long running streams may delay a swap.
	StreamGraceMS int64
}

func (c ReconcileConfig) withDefaults() ReconcileConfig {
	if c.MaxUnavailableRatio <= 0 {
		c.MaxUnavailableRatio = DefaultMaxUnavailableRatio
	}
	if c.StreamGraceMS <= 0 {
		c.StreamGraceMS = DefaultStreamGraceMS
	}
	return c
}

// Reconcile compares the document with the agents' reports and returns the next
// orders by kind: drain, resume, prefetch, serve. It is stateless: the same
// arguments give the same orders, and after a change of the lease holder the next
// one continues from the view alone. All but serve orders are sorted by instance.
func Reconcile(doc *fleet.Document, view FleetView, cfg ReconcileConfig) []Order {
	r := &reconciler{
		doc:      doc,
		cfg:      cfg.withDefaults(),
		agents:   view.sorted(),
		assigned: AssignPlacements(doc, view),
		stops:    stopsByInstance(doc),
	}
	orders := r.drainOrders()
	orders = append(orders, r.resumeOrders()...)
	orders = append(orders, r.prefetchOrders()...)
	return append(orders, r.swapOrders()...)
}

type reconciler struct {
	doc      *fleet.Document
	cfg      ReconcileConfig
	agents   []AgentView
	assigned map[core.InstanceID]int
	stops    map[core.InstanceID]fleet.Stop
}

func stopsByInstance(doc *fleet.Document) map[core.InstanceID]fleet.Stop {
	out := make(map[core.InstanceID]fleet.Stop)
	for _, stop := range doc.Stops {
		for _, id := range stop.Instances {
			out[id] = stop
		}
	}
	return out
}

func (r *reconciler) placementOf(agent AgentView) (fleet.Placement, bool) {
	index, ok := r.assigned[agent.Instance.ID]
	if !ok {
		return fleet.Placement{}, false
	}
	return r.doc.Placements[index], true
}

func (r *reconciler) drainOrders() []Order {
	var orders []Order
	for _, agent := range r.agents {
		stop, stopped := r.stops[agent.Instance.ID]
		if !stopped || agent.Draining || agent.Leaving {
			continue
		}
		orders = append(orders, Order{
			Instance:      agent.Instance.ID,
			Kind:          OrderDrain,
			StreamGraceMS: stop.StreamGraceMS,
			Move:          stop.Move,
		})
	}
	return orders
}

func (r *reconciler) resumeOrders() []Order {
	var orders []Order
	for _, agent := range r.agents {
		_, stopped := r.stops[agent.Instance.ID]
		if stopped || !agent.Draining || agent.Swapping || agent.Leaving {
			continue
		}
		orders = append(orders, Order{Instance: agent.Instance.ID, Kind: OrderResume})
	}
	return orders
}

func (r *reconciler) prefetchOrders() []Order {
	var orders []Order
	for _, agent := range r.agents {
		placement, ok := r.placementOf(agent)
		if !ok || agent.Serving == placement.Model || agent.Fetching == placement.Model {
			continue
		}
		orders = append(orders, Order{
			Instance: agent.Instance.ID,
			Kind:     OrderPrefetch,
			Model:    placement.Model,
		})
	}
	return orders
}

// swapOrders returns serve orders for all endpoints that are draining or serve no
// model, and for the others as far as the swap budget of the model they serve
// allows. Unhealthy endpoints come first because swapping them costs the least
// capacity.
func (r *reconciler) swapOrders() []Order {
	var orders []Order
	healthy, unhealthy := newDomainQueues(), newDomainQueues()
	for _, agent := range r.agents {
		placement, ok := r.placementOf(agent)
		switch {
		case !ok || !swapReady(placement, agent):
		case agent.Serving.IsZero() || agent.Draining:
			orders = append(orders, r.serveOrder(agent, placement))
		case agent.Healthy:
			healthy.add(agent)
		default:
			unhealthy.add(agent)
		}
	}
	budget := newSwapBudget(r)
	orders = append(orders, r.swapOrdersInBudget(unhealthy, budget)...)
	return append(orders, r.swapOrdersInBudget(healthy, budget)...)
}

// swapReady reports whether the agent has to swap and its weights are complete.
func swapReady(p fleet.Placement, agent AgentView) bool {
	if agent.Swapping || servesTarget(p, agent) {
		return false
	}
	return agent.Serving == p.Model || agent.Complete(p.Model)
}

func (r *reconciler) swapOrdersInBudget(ready *domainQueues, budget *swapBudget) []Order {
	var orders []Order
	for {
		agent, ok := ready.pop(budget.unavailableByDomain)
		if !ok {
			return orders
		}
		placement, _ := r.placementOf(agent)
		if budget.acquire(agent, placement) {
			orders = append(orders, r.serveOrder(agent, placement))
		}
	}
}

func (r *reconciler) serveOrder(agent AgentView, p fleet.Placement) Order {
	return Order{
		Instance:      agent.Instance.ID,
		Kind:          OrderServe,
		Model:         p.Model,
		Adapters:      p.Adapters,
		EngineRole:    p.EngineRole,
		StreamGraceMS: r.cfg.StreamGraceMS,
	}
}
