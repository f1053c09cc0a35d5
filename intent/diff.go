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

// Diff returns what differs between two documents, removals first within
// each section.
func Diff(before, after *fleet.Document) []Change {
	var out []Change
	out = append(out, diffSection("organisations", before.Organisations, after.Organisations)...)
	out = append(out, diffSection("rank_rules", before.RankRules, after.RankRules)...)
	out = append(out, diffSection("ranks", before.Ranks, after.Ranks)...)
	out = append(out, diffSection("services", before.Services, after.Services)...)
	out = append(out, diffSection("placements", before.Placements, after.Placements)...)
	return append(out, diffSection("stops", before.Stops, after.Stops)...)
}

func diffSection[T any](section string, before, after []T) []Change {
	removed, added := encodeEach(before), encodeEach(after)
	var out []Change
	out = append(out, missingFrom(section, false, removed, added)...)
	return append(out, missingFrom(section, true, added, removed)...)
}

func encodeEach[T any](items []T) map[string]bool {
	out := make(map[string]bool, len(items))
	for _, item := range items {
		if data, err := json.Marshal(item); err == nil {
			out[string(data)] = true
		}
	}
	return out
}

func missingFrom(section string, added bool, items, other map[string]bool) []Change {
	var keys []string
	for key := range items {
		if !other[key] {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var out []Change
	for _, key := range keys {
		out = append(out, Change{Section: section, Added: added, Item: json.RawMessage(key)})
	}
	return out
}
