package intent

import (
	"math"
	"sort"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// modelSlots returns the total slots of the model endpoints that take calls.
func modelSlots(agents []AgentView) int {
	slots := 0
	for _, a := range agents {
		if a.Instance.Role == core.RoleModel && a.Available() {
			slots += a.slots()
		}
	}
	return slots
}

// rankCapacities returns the capacity of each rank, most urgent first. A rank may
// use all slots while the other ranks are idle.
func rankCapacities(doc *fleet.Document, slots int) []RankCapacity {
	var shares [core.RankCount]float64
	for _, r := range doc.Ranks {
		shares[r.Rank] = r.GuaranteedShare
	}
	out := make([]RankCapacity, 0, core.RankCount)
	for _, rank := range core.Ranks {
		out = append(out, RankCapacity{
			Rank:       rank,
			Slots:      slots,
			Guaranteed: int(math.Floor(shares[rank]*float64(slots) + shareTolerance)),
		})
	}
	return out
}

// shareTolerance absorbs floating-point error in shares such as 3/7.
const shareTolerance = 1e-9

// totalGuaranteedSlots returns the number of slots that the guaranteed shares of all
// ranks require.
func totalGuaranteedSlots(doc *fleet.Document, slots int) int {
	sum := 0.0
	for _, r := range doc.Ranks {
		sum += r.GuaranteedShare
	}
	return int(math.Ceil(sum*float64(slots) - shareTolerance))
}

// workload identifies a model or a plain service that endpoints serve.
type workload struct {
	role core.InstanceRole
	name string
}

func workloadOf(a AgentView) workload {
	if a.Instance.Role == core.RolePlain {
		return workload{core.RolePlain, a.Instance.Service}
	}
	return workload{a.Instance.Role, a.Serving.Model}
}

func takesCalls(a AgentView) bool {
	if a.Instance.Role == core.RolePlain {
		return a.Healthy && !a.Leaving && !a.Draining
	}
	return a.Available()
}

// slotsByWorkload returns the total slots of the endpoints that take calls,
// without those of the excluded instances.
func slotsByWorkload(view FleetView, excluded []core.InstanceID) map[workload]int {
	isExcluded := make(map[core.InstanceID]bool, len(excluded))
	for _, id := range excluded {
		isExcluded[id] = true
	}
	slots := make(map[workload]int)
	for _, a := range view.Agents {
		if takesCalls(a) && !isExcluded[a.Instance.ID] {
			slots[workloadOf(a)] += a.slots()
		}
	}
	return slots
}

// checkStopCapacity returns *CapacityError if stopping the instances leaves a
// model fewer slots than the guaranteed shares of its current slots require, or
// a plain service without an endpoint.
func checkStopCapacity(doc *fleet.Document, view FleetView, stopped []core.InstanceID) error {
	before, after := slotsByWorkload(view, nil), slotsByWorkload(view, stopped)
	for _, w := range sortedWorkloads(before) {
		if after[w] == before[w] {
			continue
		}
		need := 1
		if w.role == core.RoleModel {
			need = max(need, totalGuaranteedSlots(doc, before[w]))
		}
		if after[w] < need {
			return &CapacityError{Workload: w.name, Wave: 1, Unit: CapacitySlots, Left: after[w], Need: need}
		}
	}
	return nil
}

func sortedWorkloads(slots map[workload]int) []workload {
	out := make([]workload, 0, len(slots))
	for w := range slots {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].role != out[j].role {
			return out[i].role < out[j].role
		}
		return out[i].name < out[j].name
	})
	return out
}

// checkPlacementCapacity returns *CapacityError if next leaves a model with fewer
// endpoints than it has under the old document or than its placements ask for,
// whichever is less. The model that is being placed needs only one.
func checkPlacementCapacity(old, next *fleet.Document, view FleetView, placedModel string) error {
	before, after := assignedEndpointsByModel(old, view), assignedEndpointsByModel(next, view)
	replicas := make(map[string]int)
	for _, p := range next.Placements {
		replicas[p.Model.Model] += p.Replicas
	}
	for _, p := range next.Placements {
		name := p.Model.Model
		need := min(before[name], max(replicas[name], 1))
		if name == placedModel {
			need = 1
		}
		if after[name] < need {
			return &CapacityError{Workload: name, Wave: 1, Unit: CapacityEndpoints, Left: after[name], Need: need}
		}
	}
	return nil
}

func assignedEndpointsByModel(doc *fleet.Document, view FleetView) map[string]int {
	counts := make(map[string]int)
	for _, index := range AssignPlacements(doc, view) {
		counts[doc.Placements[index].Model.Model]++
	}
	return counts
}
