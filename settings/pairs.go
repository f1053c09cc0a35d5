package settings

import "strings"

// Pairs binds a key to a list of name:name, separated by commas.
func Pairs(target *map[string]string) Value {
	return text{
		unit: "pairs name:name, separated by commas",
		set: func(value string) bool {
			pairs := make(map[string]string)
			for _, item := range strings.Split(value, ",") {
				name, other, ok := strings.Cut(strings.TrimSpace(item), ":")
				if !ok || !isName(name) || !isName(other) {
					return false
				}
				pairs[name] = other
			}
			*target = pairs
			return len(pairs) <= maxListItems
		},
	}
}
