package operator

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

// Status is the state of the fleet as one entry sees it.
type Status struct {
	// Entry is the instance that reports the status.
	Entry core.InstanceID `json:"entry"`
	// Generation is the generation in force; Plan created it.
	Generation core.Generation `json:"generation"`
	Plan       string          `json:"plan,omitempty"`
	// StoreReachable reports whether the entry can reach the key-value service.
	StoreReachable bool `json:"store_reachable"`
	// Executor reports whether this entry executes plans, with the fencing
	// number Fence.
	Executor    bool               `json:"executor"`
	Fence       core.Fence         `json:"fence,omitempty"`
	Deployments []Deployment       `json:"deployments"`
	Agents      []intent.AgentView `json:"agents"`
}

// Deployment is the progress of a placement, counted in endpoints.
type Deployment struct {
	Placement fleet.Placement `json:"placement"`
	Assigned  int             `json:"assigned"`
	Serving   int             `json:"serving"`
	Complete  int             `json:"complete"` // Have all chunks but do not serve yet.
	Swapping  int             `json:"swapping"`
}

// Confirmation is the response to the confirmation of a plan.
type Confirmation struct {
	Plan       string          `json:"plan"`
	Generation core.Generation `json:"generation"`
}

// PlanDiff lists the configuration changes of a plan.
type PlanDiff struct {
	Plan    string          `json:"plan"`
	Changes []intent.Change `json:"changes"`
}

// NewStatus returns a Status with the fields that derive from the document and
// the view.
func NewStatus(doc *fleet.Document, view intent.FleetView) Status {
	return Status{
		Generation:  doc.Generation,
		Plan:        doc.Plan,
		Deployments: deployments(doc, view),
		Agents:      view.Agents,
	}
}

func deployments(doc *fleet.Document, view intent.FleetView) []Deployment {
	placementByInstance := intent.AssignPlacements(doc, view)
	progress := make([]Deployment, len(doc.Placements))
	for i, p := range doc.Placements {
		progress[i].Placement = p
	}
	for _, a := range view.Agents {
		if i, ok := placementByInstance[a.Instance.ID]; ok {
			progress[i].addAgent(a)
		}
	}
	return progress
}

func (d *Deployment) addAgent(a intent.AgentView) {
	d.Assigned++
	switch {
	case a.Swapping:
		d.Swapping++
	case a.Serving == d.Placement.Model:
		d.Serving++
	case a.Complete(d.Placement.Model):
		d.Complete++
	}
}
