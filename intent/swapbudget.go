package intent

import "github.com/snipestep/snipestep/fleet"

// swapBudget tracks how many endpoints of each model may still be taken out of
// service. Endpoints that serve nothing or that operators stopped do not count.
type swapBudget struct {
	maxUnavailableRatio float64
	countsByModel       map[string]*endpointCounts
	unavailableByDomain map[string]int
}

// endpointCounts counts the endpoints of one model, whatever their version.
type endpointCounts struct {
	available   int
	unavailable int
	unhealthy   int
	assigned    int
}

func newSwapBudget(r *reconciler) *swapBudget {
	b := &swapBudget{
		maxUnavailableRatio: r.cfg.MaxUnavailableRatio,
		countsByModel:       make(map[string]*endpointCounts),
		unavailableByDomain: make(map[string]int),
	}
	for _, agent := range r.agents {
		placement, ok := r.placementOf(agent)
		if ok {
			b.countsOf(placement.Model.Model).assigned++
		}
		if _, stopped := r.stops[agent.Instance.ID]; !stopped {
			b.countAgent(agent, placement, ok)
		}
	}
	return b
}

func (b *swapBudget) countsOf(name string) *endpointCounts {
	counts, ok := b.countsByModel[name]
	if !ok {
		counts = &endpointCounts{}
		b.countsByModel[name] = counts
	}
	return counts
}

func (b *swapBudget) countAgent(agent AgentView, p fleet.Placement, assigned bool) {
	if agent.Available() {
		b.countsOf(agent.Serving.Model).available++
		return
	}
	if !agent.Healthy && !agent.Serving.IsZero() && !agent.Swapping {
		b.countsOf(agent.Serving.Model).unhealthy++
		return
	}
	name := agent.Serving.Model
	if name == "" && assigned {
		name = p.Model.Model
	}
	outOfService := agent.Swapping || agent.Draining
	if name == "" || !outOfService {
		return
	}
	b.countsOf(name).unavailable++
	b.unavailableByDomain[domainOf(agent)]++
}

// acquire takes a serving endpoint out of service if the budget allows, and
// reports whether it does.
func (b *swapBudget) acquire(agent AgentView, target fleet.Placement) bool {
	counts := b.countsOf(agent.Serving.Model)
	total := counts.available + counts.unavailable
	if !agent.Healthy {
		total += counts.unhealthy
	}
	if counts.unavailable >= b.maxUnavailable(total) {
		return false
	}
	if agent.Healthy && agent.Serving.Model != target.Model.Model && !b.canReassign(counts) {
		return false
	}
	if agent.Healthy {
		counts.available--
	} else {
		counts.unhealthy--
	}
	counts.unavailable++
	b.unavailableByDomain[domainOf(agent)]++
	return true
}

// canReassign reports whether an endpoint of the model may swap to another model:
// of the endpoints assigned to the model, at most maxUnavailable may then be
// unavailable.
func (b *swapBudget) canReassign(counts *endpointCounts) bool {
	if counts.assigned == 0 {
		return true
	}
	return counts.available-1 >= counts.assigned-b.maxUnavailable(counts.assigned)
}

func (b *swapBudget) maxUnavailable(endpoints int) int {
	return max(1, int(float64(endpoints)*b.maxUnavailableRatio))
}
