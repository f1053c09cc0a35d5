package intent

import "github.com/snipestep/snipestep/fleet"

// swapBudget counts how many endpoints of each model may still be taken out
// of service. Endpoints that serve nothing or that operators stopped are in no
// count.
type swapBudget struct {
	ratio               float64
	models              map[string]*modelCapacity
	unavailableByDomain map[string]int
}

// modelCapacity counts the endpoints of one model by name.
type modelCapacity struct {
	available   int
	unavailable int
	unhealthy   int
	assigned    int
}

func newSwapBudget(r *reconciler) *swapBudget {
	b := &swapBudget{
		ratio:               r.cfg.MaxUnavailableRatio,
		models:              make(map[string]*modelCapacity),
		unavailableByDomain: make(map[string]int),
	}
	for _, agent := range r.agents {
		placement, ok := r.target(agent)
		if ok {
			b.model(placement.Model.Model).assigned++
		}
		if _, stopped := r.stops[agent.Instance.ID]; !stopped {
			b.count(agent, placement, ok)
		}
	}
	return b
}

func (b *swapBudget) model(name string) *modelCapacity {
	m, ok := b.models[name]
	if !ok {
		m = &modelCapacity{}
		b.models[name] = m
	}
	return m
}

func (b *swapBudget) count(agent AgentView, p fleet.Placement, assigned bool) {
	if agent.Available() {
		b.model(agent.Serving.Model).available++
		return
	}
	if !agent.Healthy && !agent.Serving.IsZero() && !agent.Swapping {
		b.model(agent.Serving.Model).unhealthy++
		return
	}
	name := agent.Serving.Model
	if name == "" && assigned {
		name = p.Model.Model
	}
	takenOut := agent.Swapping || agent.Draining
	if name == "" || !takenOut {
		return
	}
	b.model(name).unavailable++
	b.unavailableByDomain[domainOf(agent)]++
}

// take spends the budget for one endpoint that serves, or returns false.
func (b *swapBudget) take(agent AgentView, target fleet.Placement) bool {
	from := b.model(agent.Serving.Model)
	base := from.available + from.unavailable
	if !agent.Healthy {
		base += from.unhealthy
	}
	if from.unavailable >= b.allowance(base) {
		return false
	}
	if agent.Healthy && agent.Serving.Model != target.Model.Model && !b.mayLeave(from) {
		return false
	}
	if agent.Healthy {
		from.available--
	} else {
		from.unhealthy--
	}
	from.unavailable++
	b.unavailableByDomain[domainOf(agent)]++
	return true
}

// mayLeave reports whether one endpoint can go to another model while those
// assigned to this one, but for the allowance, are available.
func (b *swapBudget) mayLeave(from *modelCapacity) bool {
	if from.assigned == 0 {
		return true
	}
	return from.available-1 >= from.assigned-b.allowance(from.assigned)
}

func (b *swapBudget) allowance(endpoints int) int {
	return max(1, int(float64(endpoints)*b.ratio))
}
