package intent

import (
	"fmt"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Planner makes plans with the given limits and estimates.
type Planner struct {
	ReconcileConfig ReconcileConfig
	Estimates       Estimates
}

// MakePlan makes a plan with the default limits and estimates.
func MakePlan(doc *fleet.Document, view FleetView, in Intent, now time.Time, id string) (*Plan, error) {
	return Planner{Estimates: DefaultEstimates}.MakePlan(doc, view, in, now, id)
}

// MakePlan returns a plan of what confirming the intent would do to a fleet with
// the given document and view. It returns *IntentError, ErrManifestMissing,
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
	plan.Waves = p.simulateWaves(next, view, in)
	plan.estimateTransfer(view)
	plan.estimateDurations(p.Estimates)
	plan.addWarnings(view)
	plan.ViewHash = viewHash(view, plan.instances())
	return plan, nil
}

// checkCapacity returns *CapacityError if the plan leaves too little capacity. A
// stop or drain with AcceptLess gets a warning instead.
func (p *Plan) checkCapacity(doc *fleet.Document, view FleetView) error {
	var err error
	acceptLess := false
	switch p.Intent.Kind() {
	case KindPlace:
		err = checkPlacementCapacity(doc, p.Next, view, p.Intent.Place.Model.Model)
	case KindStop:
		acceptLess = p.Intent.Stop.AcceptLess
		err = checkStopCapacity(doc, view, newlyStopped(p.Next, doc))
	case KindDrain:
		acceptLess = p.Intent.Drain.AcceptLess
		err = checkStopCapacity(doc, view, newlyStopped(p.Next, doc))
	}
	if err != nil && acceptLess {
		p.Warnings = append(p.Warnings, err.Error())
		return nil
	}
	return err
}

// newlyStopped returns the instances that next stops and old does not.
func newlyStopped(next, old *fleet.Document) []core.InstanceID {
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

// estimateTransfer sets the bytes sent by the origin and between regions. If no
// region has the weights, the origin sends one copy to the first region. Every
// other region without them receives one copy over a region link.
func (p *Plan) estimateTransfer(view FleetView) {
	place := p.Intent.Place
	if place == nil {
		return
	}
	assigned := AssignPlacements(p.Next, view)
	regionsWithoutWeights := make(map[string]bool)
	regionsWithWeights := make(map[string]bool)
	for _, a := range view.Agents {
		region := a.Instance.Location.Region
		index, ok := assigned[a.Instance.ID]
		if a.Serving == place.Model || a.Complete(place.Model) {
			regionsWithWeights[region] = true
		} else if ok && p.Next.Placements[index].Model == place.Model {
			regionsWithoutWeights[region] = true
		}
	}
	for region := range regionsWithWeights {
		delete(regionsWithoutWeights, region)
	}
	copies := int64(len(regionsWithoutWeights))
	if copies > 0 && len(regionsWithWeights) == 0 {
		p.OriginBytes = place.ModelBytes
		copies--
	}
	p.RegionLinkBytes = copies * place.ModelBytes
}

func (p *Plan) estimateDurations(e Estimates) {
	for i := range p.Waves {
		wave := &p.Waves[i]
		wave.EstimatedMS = p.waveDuration(*wave, e).Milliseconds()
		p.EstimatedMS += wave.EstimatedMS
	}
}

func (p *Plan) waveDuration(w Wave, e Estimates) time.Duration {
	switch w.Steps[0].Kind {
	case OrderPrefetch:
		if p.Intent.Place == nil {
			return 0
		}
		return e.transferTime(p.Intent.Place.ModelBytes, p.OriginBytes > 0, p.RegionLinkBytes > 0)
	case OrderServe:
		return e.LoadTime
	case OrderDrain:
		return time.Duration(p.streamGraceMS()) * time.Millisecond
	}
	return 0
}

func (p *Plan) streamGraceMS() int64 {
	switch {
	case p.Intent.Stop != nil:
		return p.Intent.Stop.StreamGraceMS
	case p.Intent.Drain != nil:
		return p.Intent.Drain.StreamGraceMS
	}
	return 0
}

func (p *Plan) addWarnings(view FleetView) {
	place := p.Intent.Place
	if place == nil {
		return
	}
	assigned := assignedEndpointsByModel(p.Next, view)[place.Model.Model]
	if assigned < place.Replicas {
		p.Warnings = append(p.Warnings, fmt.Sprintf("only %d of %d replicas have an endpoint", assigned, place.Replicas))
	}
	if required := totalGuaranteedSlots(p.Next, modelSlots(view.Agents)); p.minSlots() < required {
		p.Warnings = append(p.Warnings, fmt.Sprintf("a wave leaves %d slots, the guarantees need %d", p.minSlots(), required))
	}
}

func (p *Plan) minSlots() int {
	lowest := p.CapacityNow[0].Slots
	for _, wave := range p.Waves {
		lowest = min(lowest, wave.CapacityLeft[0].Slots)
	}
	return lowest
}
