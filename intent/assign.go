package intent

import (
	"sort"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// AssignPlacements maps instances to the index of their placement in
// doc.Placements. Endpoints that already serve or fetch a placement's model are
// preferred for it; equally suitable ones are spread over failure domains.
func AssignPlacements(doc *fleet.Document, view FleetView) map[core.InstanceID]int {
	a := newAssigner(doc, view)
	for _, index := range placementOrder(doc.Placements) {
		a.assign(index)
	}
	return a.assigned
}

type assigner struct {
	placements   []fleet.Placement
	placedModels map[core.ModelRef]bool
	candidates   []AgentView
	assigned     map[core.InstanceID]int
}

func newAssigner(doc *fleet.Document, view FleetView) *assigner {
	a := &assigner{
		placements:   doc.Placements,
		placedModels: make(map[core.ModelRef]bool),
		assigned:     make(map[core.InstanceID]int),
	}
	for _, p := range doc.Placements {
		a.placedModels[p.Model] = true
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

// placementOrder returns the indexes of the placements in order of assignment:
// placements with a number of replicas come before those for every endpoint, and
// within each group narrow locations come before wide ones.
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
	base := 0
	if p.Replicas == 0 {
		base += 4
	}
	switch {
	case p.FailureDomain != "":
		return base
	case p.Region != "":
		return base + 1
	}
	return base + 2
}

func (a *assigner) assign(index int) {
	placement := a.placements[index]
	classes := a.classify(placement)
	remaining := placement.Replicas
	if remaining == 0 {
		remaining = len(a.candidates)
	}
	assignedPerDomain := make(map[string]int)
	for _, class := range classes {
		for remaining > 0 {
			agent, ok := class.pop(assignedPerDomain)
			if !ok {
				break
			}
			a.assigned[agent.Instance.ID] = index
			assignedPerDomain[domainOf(agent)]++
			remaining--
		}
	}
}

// The classes of candidate endpoints for a placement, most suitable first.
const (
	candidateServesTarget = iota
	candidateServesModel
	candidateFetchesModel
	candidateServesOtherVersion
	candidateServesNothing
	candidateServesUnplacedModel
	candidateServesPlacedModel
	candidateUnhealthy
	candidateClassCount
)

func (a *assigner) classify(p fleet.Placement) [candidateClassCount]*domainQueues {
	var classes [candidateClassCount]*domainQueues
	for i := range classes {
		classes[i] = newDomainQueues()
	}
	for _, agent := range a.candidates {
		if _, taken := a.assigned[agent.Instance.ID]; !taken && locationMatches(p, agent) {
			classes[a.candidateClass(p, agent)].add(agent)
		}
	}
	return classes
}

func (a *assigner) candidateClass(p fleet.Placement, agent AgentView) int {
	switch {
	case !agent.Healthy:
		return candidateUnhealthy
	case servesTarget(p, agent):
		return candidateServesTarget
	case agent.Serving == p.Model:
		return candidateServesModel
	case agent.Fetching == p.Model:
		return candidateFetchesModel
	case agent.Serving.Model == p.Model.Model:
		return candidateServesOtherVersion
	case agent.Serving.IsZero() && !a.placedModels[agent.Fetching]:
		return candidateServesNothing
	case !a.placedModels[agent.Serving] && !a.placedModels[agent.Fetching]:
		return candidateServesUnplacedModel
	}
	return candidateServesPlacedModel
}

func locationMatches(p fleet.Placement, agent AgentView) bool {
	location := agent.Instance.Location
	return matches(p.Region, location.Region) && matches(p.FailureDomain, location.FailureDomain)
}

func domainOf(agent AgentView) string {
	location := agent.Instance.Location
	return location.Region + "/" + location.FailureDomain
}

// servesTarget reports whether the agent already serves what the placement
// requires. An empty engine role accepts any.
func servesTarget(p fleet.Placement, agent AgentView) bool {
	return agent.Serving == p.Model &&
		sameSet(p.Adapters, agent.Adapters) &&
		matches(p.EngineRole, agent.EngineRole)
}

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	members := make(map[string]bool, len(a))
	for _, name := range a {
		members[name] = true
	}
	for _, name := range b {
		if !members[name] {
			return false
		}
	}
	return true
}
