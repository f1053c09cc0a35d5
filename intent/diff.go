package intent

import (
	"encoding/json"
	"sort"

	"github.com/snipestep/snipestep/fleet"
)

// Change is one entry of a document that a plan adds or removes.
type Change struct {
	Section string          `json:"section"`
	Added   bool            `json:"added"`
	Item    json.RawMessage `json:"item"`
}

// Diff returns the differences between two documents, with removals before
// additions in each section.
func Diff(before, after *fleet.Document) []Change {
	var changes []Change
	changes = append(changes, diffSection("organisations", before.Organisations, after.Organisations)...)
	changes = append(changes, diffSection("rank_rules", before.RankRules, after.RankRules)...)
	changes = append(changes, diffSection("ranks", before.Ranks, after.Ranks)...)
	changes = append(changes, diffSection("services", before.Services, after.Services)...)
	changes = append(changes, diffSection("placements", before.Placements, after.Placements)...)
	return append(changes, diffSection("stops", before.Stops, after.Stops)...)
}

func diffSection[T any](section string, before, after []T) []Change {
	removed, added := encodedItems(before), encodedItems(after)
	var changes []Change
	changes = append(changes, changesNotIn(section, false, removed, added)...)
	return append(changes, changesNotIn(section, true, added, removed)...)
}

func encodedItems[T any](items []T) map[string]bool {
	out := make(map[string]bool, len(items))
	for _, item := range items {
		if data, err := json.Marshal(item); err == nil {
			out[string(data)] = true
		}
	}
	return out
}

func changesNotIn(section string, added bool, items, other map[string]bool) []Change {
	var keys []string
	for key := range items {
		if !other[key] {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var changes []Change
	for _, key := range keys {
		changes = append(changes, Change{Section: section, Added: added, Item: json.RawMessage(key)})
	}
	return changes
}
