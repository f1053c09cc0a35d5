package intent

import (
	"slices"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// apply returns a copy of the document with the intent applied.
func apply(doc *fleet.Document, view FleetView, in Intent) (*fleet.Document, error) {
	next := doc.Clone()
	switch in.Kind() {
	case KindPlace:
		return next, applyPlace(next, view, in.Place)
	case KindRank:
		applyRank(next, in.Rank)
		return next, nil
	case KindStop:
		return next, applyStop(next, view, KindStop, in.Stop.Selector, fleet.Stop{
			StreamGraceMS: in.Stop.StreamGraceMS,
			Move:          in.Stop.Move,
		})
	case KindDrain:
		return next, applyStop(next, view, KindDrain, in.Drain.Selector, fleet.Stop{
			StreamGraceMS: in.Drain.StreamGraceMS,
			Move:          in.Drain.Move,
			Drain:         true,
		})
	}
	return next, applyResume(next, view, in.Resume.Selector)
}

func applyPlace(next *fleet.Document, view FleetView, place *Place) error {
	if place.Model.Manifest.IsZero() {
		return ErrManifestMissing
	}
	placement := fleet.Placement{
		Model:         place.Model,
		Adapters:      place.Adapters,
		EngineRole:    place.EngineRole,
		Region:        place.Region,
		FailureDomain: place.FailureDomain,
		Replicas:      place.Replicas,
	}
	if !anyLocationMatches(placement, view) {
		return &NoMatchError{Kind: KindPlace, Selector: Selector{
			Region:        place.Region,
			FailureDomain: place.FailureDomain,
			Role:          core.RoleModel,
		}}
	}
	next.Placements = replacePlacement(next.Placements, placement)
	return nil
}

func anyLocationMatches(p fleet.Placement, view FleetView) bool {
	for _, a := range view.Agents {
		if a.Instance.Role == core.RoleModel && !a.Leaving && locationMatches(p, a) {
			return true
		}
	}
	return false
}

// replacePlacement removes the placements that p replaces and inserts p at the
// position of the first of them, or at the end.
func replacePlacement(placements []fleet.Placement, p fleet.Placement) []fleet.Placement {
	var out []fleet.Placement
	inserted := false
	for _, old := range placements {
		if !replaces(p, old) {
			out = append(out, old)
			continue
		}
		if !inserted {
			out = append(out, p)
			inserted = true
		}
	}
	if !inserted {
		out = append(out, p)
	}
	return out
}

func replaces(p, old fleet.Placement) bool {
	return p.Model.Model == old.Model.Model &&
		matches(p.Region, old.Region) &&
		matches(p.FailureDomain, old.FailureDomain)
}

// applyRank puts the new rules before the existing ones, because the first
// matching rule applies.
func applyRank(next *fleet.Document, rank *Rank) {
	rules := append([]fleet.RankRule(nil), rank.Rules...)
	overridden := make(map[fleet.RankRule]bool)
	for _, rule := range rules {
		overridden[withoutRank(rule)] = true
	}
	for _, rule := range next.RankRules {
		if !overridden[withoutRank(rule)] {
			rules = append(rules, rule)
		}
	}
	next.RankRules = rules
	for _, policy := range rank.Policies {
		next.Ranks = replaceRankPolicy(next.Ranks, policy)
	}
}

func withoutRank(rule fleet.RankRule) fleet.RankRule {
	rule.Rank = 0
	return rule
}

func replaceRankPolicy(policies []fleet.RankPolicy, p fleet.RankPolicy) []fleet.RankPolicy {
	for i := range policies {
		if policies[i].Rank == p.Rank {
			policies[i] = p
			return policies
		}
	}
	return append(policies, p)
}

func applyStop(next *fleet.Document, view FleetView, kind Kind, s Selector, stop fleet.Stop) error {
	stopped := stopsByInstance(next)
	ids := selectInstances(view, s, func(a AgentView) bool {
		existing, ok := stopped[a.Instance.ID]
		return !a.Leaving && (!ok || (existing.Drain && !stop.Drain))
	})
	if len(ids) == 0 {
		return &NoMatchError{Kind: kind, Selector: s}
	}
	removeStops(next, ids)
	stop.Instances = ids
	next.Stops = append(next.Stops, stop)
	pruneStops(next, view)
	return nil
}

func applyResume(next *fleet.Document, view FleetView, s Selector) error {
	stopped := stopsByInstance(next)
	ids := selectInstances(view, s, func(a AgentView) bool {
		return stopped[a.Instance.ID].Drain
	})
	if s.selectsAllLocations() {
		ids = append(ids, drainedNotInView(stopped, view)...)
	}
	if len(ids) == 0 {
		return &NoMatchError{Kind: KindResume, Selector: s}
	}
	removeStops(next, ids)
	return nil
}

// drainedNotInView returns the drained instances that are missing from the view,
// such as replaced ones. Their locations are unknown, so only a resume that
// selects all locations includes them.
func drainedNotInView(stopped map[core.InstanceID]fleet.Stop, view FleetView) []core.InstanceID {
	inView := view.byID()
	var absent []core.InstanceID
	for id, stop := range stopped {
		if _, ok := inView[id]; !ok && stop.Drain {
			absent = append(absent, id)
		}
	}
	slices.Sort(absent)
	return absent
}

// selectInstances returns the eligible instances that the selector matches. They
// are taken from the failure domains in turn, in order of ID within each.
func selectInstances(view FleetView, s Selector, eligible func(AgentView) bool) []core.InstanceID {
	queues := newDomainQueues()
	for _, a := range view.sorted() {
		if s.Matches(a.Instance) && eligible(a) {
			queues.add(a)
		}
	}
	limit := s.Count
	if limit == 0 {
		limit = len(view.Agents)
	}
	var ids []core.InstanceID
	selectedPerDomain := make(map[string]int)
	for len(ids) < limit {
		agent, ok := queues.pop(selectedPerDomain)
		if !ok {
			break
		}
		selectedPerDomain[domainOf(agent)]++
		ids = append(ids, agent.Instance.ID)
	}
	return ids
}

func removeStops(doc *fleet.Document, ids []core.InstanceID) {
	removed := make(map[core.InstanceID]bool, len(ids))
	for _, id := range ids {
		removed[id] = true
	}
	filterStops(doc, func(id core.InstanceID) bool { return !removed[id] })
}

// maxStoppedInstances is how many stopped instances a document may list before
// those that are missing from the view are removed.
const maxStoppedInstances = 4096

func pruneStops(doc *fleet.Document, view FleetView) {
	if len(stopsByInstance(doc)) <= maxStoppedInstances {
		return
	}
	inView := view.byID()
	filterStops(doc, func(id core.InstanceID) bool {
		_, ok := inView[id]
		return ok
	})
}

func filterStops(doc *fleet.Document, keep func(core.InstanceID) bool) {
	var stops []fleet.Stop
	for _, stop := range doc.Stops {
		var instances []core.InstanceID
		for _, id := range stop.Instances {
			if keep(id) {
				instances = append(instances, id)
			}
		}
		if len(instances) > 0 {
			stop.Instances = instances
			stops = append(stops, stop)
		}
	}
	doc.Stops = stops
}
