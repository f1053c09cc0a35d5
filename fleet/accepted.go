package fleet

import "github.com/snipestep/snipestep/core"

// Accepted records which plan made a generation.
type Accepted struct {
	Generation core.Generation `json:"generation"`
	Plan       string          `json:"plan,omitempty"`
}

// AppendHistory returns history with next at its end, cut to the newest
// entries that a Document keeps. history is not changed.
func AppendHistory(history []Accepted, next Accepted) []Accepted {
	if len(history) >= maxHistory {
		history = history[len(history)-maxHistory+1:]
	}
	grown := make([]Accepted, 0, len(history)+1)
	grown = append(grown, history...)
	return append(grown, next)
}

// PlanOf returns the plan that made a generation, and false when the document
// does not remember it.
func (d *Document) PlanOf(generation core.Generation) (string, bool) {
	for _, a := range d.History {
		if a.Generation == generation {
			return a.Plan, true
		}
	}
	return "", false
}
