package settings

import "strings"

// Pairs binds a key to a list of name:name, separated by commas.
func Pairs(target *map[string]string) Value {
	return textValue{
		syntax: "pairs name:name, separated by commas",
		set: func(value string) bool {
			pairs := make(map[string]string)
			for _, item := range strings.Split(value, ",") {
				first, second, ok := strings.Cut(strings.TrimSpace(item), ":")
				if !ok || !isName(first) || !isName(second) {
					return false
				}
				pairs[first] = second
			}
			*target = pairs
			return len(pairs) <= maxListItems
		},
	}
}
