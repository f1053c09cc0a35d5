package settings

import "strings"

// orEmpty makes an empty value of a key stand for its default. A template that
// fills in nothing for what a deployment does not name leaves the key empty, or
// with its unit alone.
type orEmpty struct {
	Value
	fallback string
}

// Parse implements Value.
func (o orEmpty) Parse(value string) error {
	if !strings.ContainsAny(value, "0123456789") && strings.Trim(value, "ms") == "" {
		value = o.fallback
	}
	return o.Value.Parse(value)
}
