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

// OptionalRank binds a key to the name of a rank or to empty text. Parsing sets
// *isSet to whether the text is not empty.
func OptionalRank(target *core.Rank, isSet *bool) Value {
	return textValue{
		syntax: `one of "urgent", "normal", "background", or empty`,
		set: func(value string) bool {
			*isSet = value != ""
			return !*isSet || Rank(target).Parse(strings.TrimSpace(value)) == nil
		},
	}
}
