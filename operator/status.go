package operator

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
)

// Status is the state of the fleet as one entry sees it.
type Status struct {
	// Entry is the instance that answers.
	Entry core.InstanceID `json:"entry"`
	// Generation is in force, made by Plan.
	Generation core.Generation `json:"generation"`
	Plan       string          `json:"plan,omitempty"`
	// StoreReachable says whether the key-value service answers the entry.
	StoreReachable bool `json:"store_reachable"`
	// Executor says whether this entry carries plans out, under Fence.
	Executor    bool               `json:"executor"`
	Fence       core.Fence         `json:"fence,omitempty"`
	Deployments []Deployment       `json:"deployments"`
	Agents      []intent.AgentView `json:"agents"`
}

// Deployment is how far a placement is carried out, in endpoints.
type Deployment struct {
	Placement fleet.Placement `json:"placement"`
	Assigned  int             `json:"assigned"`
	Serving   int             `json:"serving"`
	Complete  int             `json:"complete"` // Hold all chunks, do not serve yet.
	Swapping  int             `json:"swapping"`
}

// Confirmed is the answer to a confirmation.
type Confirmed struct {
	Plan       string          `json:"plan"`
	Generation core.Generation `json:"generation"`
}

// Changes is what a plan changes in the configuration.
type Changes struct {
	Plan    string          `json:"plan"`
	Changes []intent.Change `json:"changes"`
}

// NewStatus fills the parts of a Status that follow from the document and the
// view.
func NewStatus(doc *fleet.Document, view intent.FleetView) Status {
	return Status{
		Generation:  doc.Generation,
		Plan:        doc.Plan,
		Deployments: deployments(doc, view),
		Agents:      view.Agents,
	}
}

func deployments(doc *fleet.Document, view intent.FleetView) []Deployment {
	assigned := intent.AssignPlacements(doc, view)
	out := make([]Deployment, len(doc.Placements))
	for i, p := range doc.Placements {
		out[i].Placement = p
	}
	for _, a := range view.Agents {
		if i, ok := assigned[a.Instance.ID]; ok {
			out[i].count(a)
		}
	}
	return out
}

func (d *Deployment) count(a intent.AgentView) {
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
