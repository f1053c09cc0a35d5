package intent

import (
	"fmt"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Planner makes plans with given bounds and estimates.
type Planner struct {
	Reconcile ReconcileConfig
	Estimates Estimates
}

// MakePlan makes a plan with the default bounds and estimates.
func MakePlan(doc *fleet.Document, view FleetView, in Intent, now time.Time, id string) (*Plan, error) {
	return Planner{Estimates: DefaultEstimates}.MakePlan(doc, view, in, now, id)
}

// MakePlan returns what confirming the intent would do to a fleet with the
// given document and view. It returns *IntentError, ErrManifestMissing,
// *NoMatchError, *CapacityError or *fleet.DocumentError.
func (p Planner) MakePlan(doc *fleet.Document, view FleetView, in Intent, now time.Time, id string) (*Plan, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	next, err := apply(doc, view, in)
	if err != nil {
		return nil, err
	}
	next.Generation = doc.Generation + 1
	next.Plan = id
	if err := next.Validate(); err != nil {
		return nil, err
	}
	plan := &Plan{
		ID:          id,
		Intent:      in,
		CreatedAt:   now.UTC(),
		Generation:  doc.Generation,
		Next:        next,
		Changes:     Diff(doc, next),
		CapacityNow: rankCapacities(doc, modelSlots(view.Agents)),
	}
	if err := plan.checkCapacity(doc, view); err != nil {
		return nil, err
	}
	plan.Waves = p.waves(next, view, in)
	plan.predictTransfer(view)
	plan.predictTime(p.Estimates)
	plan.warn(view)
	plan.ViewHash = viewHash(view, plan.instances())
	return plan, nil
}

// checkCapacity returns *CapacityError. Intents that accept less capacity get
// a warning.
func (p *Plan) checkCapacity(doc *fleet.Document, view FleetView) error {
	var err error
	acceptLess := false
	switch p.Intent.Kind() {
	case KindPlace:
		err = checkPlacements(doc, p.Next, view, p.Intent.Place.Model.Model)
	case KindStop:
		acceptLess = p.Intent.Stop.AcceptLess
		err = checkStopCapacity(doc, view, stopInstances(p.Next, doc))
	case KindDrain:
		acceptLess = p.Intent.Drain.AcceptLess
		err = checkStopCapacity(doc, view, stopInstances(p.Next, doc))
	}
	if err != nil && acceptLess {
		p.Warnings = append(p.Warnings, err.Error())
		return nil
	}
	return err
}

// stopInstances returns the instances that next stops and old doesn't.
func stopInstances(next, old *fleet.Document) []core.InstanceID {
	before := stopsByInstance(old)
	var out []core.InstanceID
	for _, stop := range next.Stops {
		for _, id := range stop.Instances {
			if _, stopped := before[id]; !stopped {
				out = append(out, id)
			}
		}
	}
	return out
}

func (p *Plan) instances() []core.InstanceID {
	seen := make(map[core.InstanceID]bool)
	var out []core.InstanceID
	for _, wave := range p.Waves {
		for _, id := range wave.Instances {
			if !seen[id] {
				seen[id] = true
				out = append(out, id)
			}
		}
	}
	return out
}

// predictTransfer sets the bytes from the origin and between regions: one
// copy of the weights enters the fleet, one copy each further region.
func (p *Plan) predictTransfer(view FleetView) {
	place := p.Intent.Place
	if place == nil {
		return
	}
	assigned := Assign(p.Next, view)
	needing := make(map[string]bool)
	holding := make(map[string]bool)
	for _, a := range view.Agents {
		region := a.Instance.Location.Region
		index, ok := assigned[a.Instance.ID]
		if a.Serving == place.Model || a.Complete(place.Model) {
			holding[region] = true
		} else if ok && p.Next.Placements[index].Model == place.Model {
			needing[region] = true
		}
	}
	for region := range holding {
		delete(needing, region)
	}
	copies := int64(len(needing))
	if copies > 0 && len(holding) == 0 {
		p.OriginBytes = place.ModelBytes
		copies--
	}
	p.RegionLinkBytes = copies * place.ModelBytes
}

func (p *Plan) predictTime(e Estimates) {
	for i := range p.Waves {
		wave := &p.Waves[i]
		wave.EstimatedMS = p.waveTime(*wave, e).Milliseconds()
		p.EstimatedMS += wave.EstimatedMS
	}
}

func (p *Plan) waveTime(w Wave, e Estimates) time.Duration {
	switch w.Steps[0].Kind {
	case OrderPrefetch:
		if p.Intent.Place == nil {
			return 0
		}
		return e.transferTime(p.Intent.Place.ModelBytes, p.OriginBytes > 0, p.RegionLinkBytes > 0)
	case OrderServe:
		return e.LoadTime
	case OrderDrain:
		return time.Duration(p.graceMS()) * time.Millisecond
	}
	return 0
}

func (p *Plan) graceMS() int64 {
	switch {
	case p.Intent.Stop != nil:
		return p.Intent.Stop.StreamGraceMS
	case p.Intent.Drain != nil:
		return p.Intent.Drain.StreamGraceMS
	}
	return 0
}

func (p *Plan) warn(view FleetView) {
	place := p.Intent.Place
	if place == nil {
		return
	}
	have := assignedCounts(p.Next, view)[place.Model.Model]
	if have < place.Replicas {
		p.Warnings = append(p.Warnings, fmt.Sprintf("only %d of %d replicas have an endpoint", have, place.Replicas))
	}
	if need := guaranteedSlots(p.Next, modelSlots(view.Agents)); p.lowestSlots() < need {
		p.Warnings = append(p.Warnings, fmt.Sprintf("a wave leaves %d slots, the guarantees need %d", p.lowestSlots(), need))
	}
}

func (p *Plan) lowestSlots() int {
	lowest := p.CapacityNow[0].Slots
	for _, wave := range p.Waves {
		lowest = min(lowest, wave.CapacityLeft[0].Slots)
	}
	return lowest
}
