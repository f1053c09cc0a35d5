package settings

import "strings"

// emptyAsDefault parses the key's default instead of an empty value or of a unit
// without a number. The template of a deployment renders such values for parameters
// that the deployment does not set.
type emptyAsDefault struct {
	Value
	defaultText string
}

// Parse implements Value.
func (e emptyAsDefault) Parse(value string) error {
	if !strings.ContainsAny(value, "0123456789") && strings.Trim(value, "ms") == "" {
		value = e.defaultText
	}
	return e.Value.Parse(value)
}
