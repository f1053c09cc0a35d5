package intent

import (
	"sort"
	"strings"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Confirm returns the document to commit. It returns *StalePlanError when the
// document moved on, when an instance that the plan names is gone, leaves or
// stands elsewhere, or when a stop would now break guaranteed capacity.
// Instances that are new since and what instances serve are not part of the
// premise: the executor always works from what it sees.
func Confirm(plan *Plan, doc *fleet.Document, view FleetView) (*fleet.Document, error) {
	if doc.Generation != plan.Generation {
		winner, _ := doc.PlanOf(plan.Generation + 1)
		return nil, &StalePlanError{
			Plan:        plan.ID,
			Reason:      StaleGeneration,
			Premise:     plan.Generation,
			Actual:      doc.Generation,
			WinningPlan: winner,
		}
	}
	named := plan.instances()
	if viewHash(view, named) != plan.ViewHash {
		return nil, &StalePlanError{
			Plan:      plan.ID,
			Reason:    StaleInstances,
			Premise:   plan.Generation,
			Actual:    doc.Generation,
			Instances: goneInstances(view, named),
		}
	}
	again := &Plan{Intent: plan.Intent, Next: plan.Next}
	if again.checkCapacity(doc, view) != nil {
		return nil, &StalePlanError{
			Plan:    plan.ID,
			Reason:  StaleCapacity,
			Premise: plan.Generation,
			Actual:  doc.Generation,
		}
	}
	return plan.Next.Clone(), nil
}

// Confirmed reports whether the plan made a generation that the document
// remembers. Confirming such a plan again changes nothing.
func (p *Plan) Confirmed(doc *fleet.Document) bool {
	id, ok := doc.PlanOf(p.Generation + 1)
	return ok && id == p.ID
}

// viewHash digests what a plan assumes of the instances it names.
func viewHash(view FleetView, named []core.InstanceID) core.Digest {
	known := view.byID()
	lines := make([]string, 0, len(named))
	for _, id := range named {
		a, ok := known[id]
		if !ok || a.Leaving {
			continue
		}
		at := a.Instance.Location
		lines = append(lines, strings.Join([]string{string(id), at.Region, at.FailureDomain, at.Rack}, "\x00"))
	}
	sort.Strings(lines)
	return core.SumDigest([]byte(strings.Join(lines, "\x01")))
}

func goneInstances(view FleetView, named []core.InstanceID) []core.InstanceID {
	known := view.byID()
	var gone []core.InstanceID
	for _, id := range named {
		if a, ok := known[id]; !ok || a.Leaving {
			gone = append(gone, id)
		}
	}
	return gone
}
