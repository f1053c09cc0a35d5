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

// ReconcileConfig bounds what Reconcile orders at once.
type ReconcileConfig struct {
	// MaxUnavailableRatio is the part of a model's endpoints that may swap
	// at the same time, rounded down, at least one endpoint.
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

// Reconcile compares the document with what the agents report and returns
// the orders that come next, sorted by instance within each kind. It keeps no
// state: the same arguments give the same orders, and after a change of the
// lease holder the next one continues from the view alone.
func Reconcile(doc *fleet.Document, view FleetView, cfg ReconcileConfig) []Order {
	r := &reconciler{
		doc:      doc,
		cfg:      cfg.withDefaults(),
		agents:   view.sorted(),
		assigned: Assign(doc, view),
		stops:    stopsByInstance(doc),
	}
	orders := r.drains()
	orders = append(orders, r.resumes()...)
	orders = append(orders, r.prefetches()...)
	return append(orders, r.swaps()...)
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

// target returns the placement of an agent.
func (r *reconciler) target(agent AgentView) (fleet.Placement, bool) {
	index, ok := r.assigned[agent.Instance.ID]
	if !ok {
		return fleet.Placement{}, false
	}
	return r.doc.Placements[index], true
}

func (r *reconciler) drains() []Order {
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

func (r *reconciler) resumes() []Order {
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

func (r *reconciler) prefetches() []Order {
	var orders []Order
	for _, agent := range r.agents {
		placement, ok := r.target(agent)
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

// swaps orders every endpoint without a model to load at once, and the others
// as far as the swap budget of the model they serve allows. Unhealthy ones
// come first: their swap costs least.
func (r *reconciler) swaps() []Order {
	var orders []Order
	healthy, unhealthy := newDomainQueues(), newDomainQueues()
	for _, agent := range r.agents {
		placement, ok := r.target(agent)
		switch {
		case !ok || !canSwap(placement, agent):
		case agent.Serving.IsZero() || agent.Draining:
			orders = append(orders, r.serve(agent, placement))
		case agent.Healthy:
			healthy.add(agent)
		default:
			unhealthy.add(agent)
		}
	}
	budget := newSwapBudget(r)
	orders = append(orders, r.budgetedSwaps(unhealthy, budget)...)
	return append(orders, r.budgetedSwaps(healthy, budget)...)
}

// canSwap reports whether a swap is due and its weights are complete.
func canSwap(p fleet.Placement, agent AgentView) bool {
	if agent.Swapping || servesTarget(p, agent) {
		return false
	}
	return agent.Serving == p.Model || agent.Complete(p.Model)
}

func (r *reconciler) budgetedSwaps(ready *domainQueues, budget *swapBudget) []Order {
	var orders []Order
	for {
		agent, ok := ready.take(budget.unavailableByDomain)
		if !ok {
			return orders
		}
		placement, _ := r.target(agent)
		if budget.take(agent, placement) {
			orders = append(orders, r.serve(agent, placement))
		}
	}
}

func (r *reconciler) serve(agent AgentView, p fleet.Placement) Order {
	return Order{
		Instance:      agent.Instance.ID,
		Kind:          OrderServe,
		Model:         p.Model,
		Adapters:      p.Adapters,
		EngineRole:    p.EngineRole,
		StreamGraceMS: r.cfg.StreamGraceMS,
	}
}
