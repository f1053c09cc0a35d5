package intent

import (
	"sort"

	"github.com/snipestep/snipestep/core"
)

// FleetView is a snapshot of the agents' reports.
type FleetView struct {
	Agents []AgentView `json:"agents"`
}

// AgentView is the reported state of one agent.
type AgentView struct {
	Instance core.Instance `json:"instance"`
	// Serving is zero while the engine serves no model.
	Serving core.ModelRef `json:"serving"`
	// Fetching is the model version of the latest prefetch, even once it is
	// complete.
	Fetching    core.ModelRef `json:"fetching"`
	ChunksHave  int           `json:"chunks_have"`
	ChunksTotal int           `json:"chunks_total"`
	Draining    bool          `json:"draining"`
	Swapping    bool          `json:"swapping"`
	Leaving     bool          `json:"leaving"`
	Running     int           `json:"running"`
	Slots       int           `json:"slots"`
	Fence       core.Fence    `json:"fence"`
	Adapters    []string      `json:"adapters,omitempty"`
	EngineRole  string        `json:"engine_role,omitempty"`
	// Healthy is false while the agent does not report or its endpoint is down.
	Healthy bool `json:"healthy"`
}

// Complete reports whether the agent has verified every chunk of a model version.
func (a AgentView) Complete(m core.ModelRef) bool {
	return a.Fetching == m && a.ChunksTotal > 0 && a.ChunksHave == a.ChunksTotal
}

// Available reports whether the endpoint takes calls for the model it serves.
func (a AgentView) Available() bool {
	return a.Healthy && !a.Leaving && !a.Draining && !a.Swapping && !a.Serving.IsZero()
}

func (a AgentView) slots() int {
	return max(a.Slots, 1)
}

func (v FleetView) sorted() []AgentView {
	agents := append([]AgentView(nil), v.Agents...)
	sort.Slice(agents, func(i, j int) bool { return agents[i].Instance.ID < agents[j].Instance.ID })
	return agents
}

func (v FleetView) byID() map[core.InstanceID]AgentView {
	out := make(map[core.InstanceID]AgentView, len(v.Agents))
	for _, a := range v.Agents {
		out[a.Instance.ID] = a
	}
	return out
}
