package intent

import (
	"math"
	"sort"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// modelSlots sums the slots of the model endpoints that take calls.
func modelSlots(agents []AgentView) int {
	slots := 0
	for _, a := range agents {
		if a.Instance.Role == core.RoleModel && a.Available() {
			slots += a.slots()
		}
	}
	return slots
}

// rankCapacities splits slots over the ranks, most urgent first. A rank may
// use what the others' guarantees leave.
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

const shareTolerance = 1e-9

// guaranteedSlots returns the slots that all guarantees need together.
func guaranteedSlots(doc *fleet.Document, slots int) int {
	sum := 0.0
	for _, r := range doc.Ranks {
		sum += r.GuaranteedShare
	}
	return int(math.Ceil(sum*float64(slots) - shareTolerance))
}

// workload is a model or a plain service that endpoints serve.
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

// slotsByWorkload sums the slots that take calls, but for some instances.
func slotsByWorkload(view FleetView, without []core.InstanceID) map[workload]int {
	gone := make(map[core.InstanceID]bool, len(without))
	for _, id := range without {
		gone[id] = true
	}
	slots := make(map[workload]int)
	for _, a := range view.Agents {
		if takesCalls(a) && !gone[a.Instance.ID] {
			slots[workloadOf(a)] += a.slots()
		}
	}
	return slots
}

// checkStopCapacity returns *CapacityError when stopping the instances leaves
// a model less than the guarantees of all ranks need now, or a plain service
// without an endpoint.
func checkStopCapacity(doc *fleet.Document, view FleetView, stopped []core.InstanceID) error {
	now, left := slotsByWorkload(view, nil), slotsByWorkload(view, stopped)
	for _, w := range sortedWorkloads(now) {
		if left[w] == now[w] {
			continue
		}
		need := 1
		if w.role == core.RoleModel {
			need = max(need, guaranteedSlots(doc, now[w]))
		}
		if left[w] < need {
			return &CapacityError{Workload: w.name, Wave: 1, Unit: CapacitySlots, Left: left[w], Need: need}
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

// checkPlacements returns *CapacityError when next leaves a model of the old
// document with fewer endpoints than its placement counts, or the model being
// placed with none.
func checkPlacements(old, next *fleet.Document, view FleetView, placed string) error {
	before, after := assignedCounts(old, view), assignedCounts(next, view)
	needed := make(map[string]int)
	for _, p := range next.Placements {
		needed[p.Model.Model] += p.Replicas
	}
	for _, p := range next.Placements {
		name := p.Model.Model
		need := min(before[name], max(needed[name], 1))
		if name == placed {
			need = 1
		}
		if after[name] < need {
			return &CapacityError{Workload: name, Wave: 1, Unit: CapacityEndpoints, Left: after[name], Need: need}
		}
	}
	return nil
}

func assignedCounts(doc *fleet.Document, view FleetView) map[string]int {
	counts := make(map[string]int)
	for _, index := range Assign(doc, view) {
		counts[doc.Placements[index].Model.Model]++
	}
	return counts
}
