package intent

import (
	"sort"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Assign gives endpoints their placements: the index in doc.Placements by
// instance. Endpoints keep the placement that they serve or fetch; free ones
// are spread over failure domains.
func Assign(doc *fleet.Document, view FleetView) map[core.InstanceID]int {
	a := newAssigner(doc, view)
	for _, index := range placementOrder(doc.Placements) {
		a.assign(index)
	}
	return a.assigned
}

type assigner struct {
	placements []fleet.Placement
	wanted     map[core.ModelRef]bool
	candidates []AgentView
	assigned   map[core.InstanceID]int
}

func newAssigner(doc *fleet.Document, view FleetView) *assigner {
	a := &assigner{
		placements: doc.Placements,
		wanted:     make(map[core.ModelRef]bool),
		assigned:   make(map[core.InstanceID]int),
	}
	for _, p := range doc.Placements {
		a.wanted[p.Model] = true
	}
	stopped := stopsByInstance(doc)
	for _, agent := range view.sorted() {
		_, isStopped := stopped[agent.Instance.ID]
		if agent.Instance.Role == core.RoleModel && !agent.Leaving && !isStopped {
			a.candidates = append(a.candidates, agent)
		}
	}
	return a
}

// placementOrder puts narrow places before wide ones and counted placements
// before those that take every endpoint.
func placementOrder(placements []fleet.Placement) []int {
	order := make([]int, len(placements))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		return precedence(placements[order[i]]) < precedence(placements[order[j]])
	})
	return order
}

func precedence(p fleet.Placement) int {
	rank := 0
	if p.Replicas == 0 {
		rank += 4
	}
	switch {
	case p.FailureDomain != "":
		return rank
	case p.Region != "":
		return rank + 1
	}
	return rank + 2
}

func (a *assigner) assign(index int) {
	placement := a.placements[index]
	classes := a.classify(placement)
	remaining := placement.Replicas
	if remaining == 0 {
		remaining = len(a.candidates)
	}
	perDomain := make(map[string]int)
	for _, class := range classes {
		for remaining > 0 {
			agent, ok := class.take(perDomain)
			if !ok {
				break
			}
			a.assigned[agent.Instance.ID] = index
			perDomain[domainOf(agent)]++
			remaining--
		}
	}
}

// The suitability of an endpoint for a placement, best first.
const (
	suitServesTarget = iota
	suitServesModel
	suitFetches
	suitServesOtherVersion
	suitEmpty
	suitServesUnwanted
	suitServesWanted
	suitUnhealthy
	suitCount
)

func (a *assigner) classify(p fleet.Placement) [suitCount]*domainQueues {
	var classes [suitCount]*domainQueues
	for i := range classes {
		classes[i] = newDomainQueues()
	}
	for _, agent := range a.candidates {
		if _, taken := a.assigned[agent.Instance.ID]; !taken && inPlace(p, agent) {
			classes[a.suitability(p, agent)].add(agent)
		}
	}
	return classes
}

func (a *assigner) suitability(p fleet.Placement, agent AgentView) int {
	switch {
	case !agent.Healthy:
		return suitUnhealthy
	case servesTarget(p, agent):
		return suitServesTarget
	case agent.Serving == p.Model:
		return suitServesModel
	case agent.Fetching == p.Model:
		return suitFetches
	case agent.Serving.Model == p.Model.Model:
		return suitServesOtherVersion
	case agent.Serving.IsZero() && !a.wanted[agent.Fetching]:
		return suitEmpty
	case !a.wanted[agent.Serving] && !a.wanted[agent.Fetching]:
		return suitServesUnwanted
	}
	return suitServesWanted
}

func inPlace(p fleet.Placement, agent AgentView) bool {
	at := agent.Instance.Location
	return matches(p.Region, at.Region) && matches(p.FailureDomain, at.FailureDomain)
}

func domainOf(agent AgentView) string {
	at := agent.Instance.Location
	return at.Region + "/" + at.FailureDomain
}

// servesTarget reports whether nothing remains to be done for a placement.
// An empty engine role accepts any.
func servesTarget(p fleet.Placement, agent AgentView) bool {
	return agent.Serving == p.Model &&
		sameSet(p.Adapters, agent.Adapters) &&
		matches(p.EngineRole, agent.EngineRole)
}

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	in := make(map[string]bool, len(a))
	for _, name := range a {
		in[name] = true
	}
	for _, name := range b {
		if !in[name] {
			return false
		}
	}
	return true
}
