package settings

import (
	"strings"

	"github.com/snipestep/snipestep/core"
)

// Rank binds a key to the name of a rank.
func Rank(target *core.Rank) Value {
	return textValue{
		syntax: `one of "urgent", "normal", "background"`,
		set: func(value string) bool {
			rank, err := core.ParseRank(value)
			if err == nil {
				*target = rank
			}
			return err == nil
		},
	}
}

// OptionalRank binds a key to the name of a rank or to empty text; given reports
// whether the key is set.
func OptionalRank(target *core.Rank, given *bool) Value {
	return textValue{
		syntax: `one of "urgent", "normal", "background", or empty`,
		set: func(value string) bool {
			*given = value != ""
			return !*given || Rank(target).Parse(strings.TrimSpace(value)) == nil
		},
	}
}
