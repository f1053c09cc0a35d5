package fleet

import "github.com/snipestep/snipestep/core"

// HistoryEntry records which plan created a generation.
type HistoryEntry struct {
	Generation core.Generation `json:"generation"`
	Plan       string          `json:"plan,omitempty"`
}

// AppendHistory returns a copy of history with entry appended, truncated to the
// newest entries that a Document keeps.
func AppendHistory(history []HistoryEntry, entry HistoryEntry) []HistoryEntry {
	if len(history) >= maxHistoryEntries {
		history = history[len(history)-maxHistoryEntries+1:]
	}
	out := make([]HistoryEntry, 0, len(history)+1)
	out = append(out, history...)
	return append(out, entry)
}

// PlanOf returns the plan that created a generation, or false if the history no
// longer contains it.
func (d *Document) PlanOf(generation core.Generation) (string, bool) {
	for _, entry := range d.History {
		if entry.Generation == generation {
			return entry.Plan, true
		}
	}
	return "", false
}
