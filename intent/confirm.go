package intent

import (
	"sort"
	"strings"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Confirm returns the document to commit. It returns *StalePlanError if the
// document has a newer generation, if an instance in the plan has left, is
// leaving or has changed its location, or if the plan would now leave too little
// capacity. New instances and what instances serve do not make a plan stale: the
// executor always works from the current view.
func Confirm(plan *Plan, doc *fleet.Document, view FleetView) (*fleet.Document, error) {
	if doc.Generation != plan.Generation {
		winner, _ := doc.PlanOf(plan.Generation + 1)
		return nil, &StalePlanError{
			Plan:              plan.ID,
			Reason:            StaleGeneration,
			BaseGeneration:    plan.Generation,
			CurrentGeneration: doc.Generation,
			WinningPlan:       winner,
		}
	}
	named := plan.instances()
	if viewHash(view, named) != plan.ViewHash {
		return nil, &StalePlanError{
			Plan:              plan.ID,
			Reason:            StaleInstances,
			BaseGeneration:    plan.Generation,
			CurrentGeneration: doc.Generation,
			Instances:         unavailableInstances(view, named),
		}
	}
	recheck := &Plan{Intent: plan.Intent, Next: plan.Next}
	if recheck.checkCapacity(doc, view) != nil {
		return nil, &StalePlanError{
			Plan:              plan.ID,
			Reason:            StaleCapacity,
			BaseGeneration:    plan.Generation,
			CurrentGeneration: doc.Generation,
		}
	}
	return plan.Next.Clone(), nil
}

// Confirmed reports whether the document's history has a generation that the plan
// created. Confirming such a plan again changes nothing.
func (p *Plan) Confirmed(doc *fleet.Document) bool {
	id, ok := doc.PlanOf(p.Generation + 1)
	return ok && id == p.ID
}

// viewHash returns a digest of the locations of the named instances, without
// those that are missing or leaving.
func viewHash(view FleetView, named []core.InstanceID) core.Digest {
	known := view.byID()
	lines := make([]string, 0, len(named))
	for _, id := range named {
		a, ok := known[id]
		if !ok || a.Leaving {
			continue
		}
		location := a.Instance.Location
		lines = append(lines, strings.Join([]string{string(id), location.Region, location.FailureDomain, location.Rack}, "\x00"))
	}
	sort.Strings(lines)
	return core.SumDigest([]byte(strings.Join(lines, "\x01")))
}

func unavailableInstances(view FleetView, named []core.InstanceID) []core.InstanceID {
	known := view.byID()
	var unavailable []core.InstanceID
	for _, id := range named {
		if a, ok := known[id]; !ok || a.Leaving {
			unavailable = append(unavailable, id)
		}
	}
	return unavailable
}
