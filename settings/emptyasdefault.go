package settings

import "strings"

// emptyAsDefault treats an empty value as the key's default. A template leaves a
// key that the deployment does not set empty, or with its unit only.
type emptyAsDefault struct {
	Value
	fallback string
}

// Parse implements Value.
func (o emptyAsDefault) Parse(value string) error {
	if !strings.ContainsAny(value, "0123456789") && strings.Trim(value, "ms") == "" {
		value = o.fallback
	}
	return o.Value.Parse(value)
}
