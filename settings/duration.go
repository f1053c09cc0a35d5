package settings

import "time"

// UnsetDuration is the value of an optional duration that is not set.
const UnsetDuration time.Duration = -1

// Duration binds a key to a duration with its unit, such as "250ms".
func Duration(target *time.Duration, lowest, highest time.Duration) Value {
	return boundedValue[time.Duration]{
		target: target,
		syntax: `a duration such as "250ms", "4s" or "1m30s"`,
		min:    lowest,
		max:    highest,
		parse:  parseDuration,
		format: time.Duration.String,
	}
}

// OptionalDuration binds a key to a duration; empty text gives UnsetDuration.
func OptionalDuration(target *time.Duration, lowest, highest time.Duration) Value {
	return optionalDuration{Value: Duration(target, lowest, highest), target: target}
}

type optionalDuration struct {
	Value
	target *time.Duration
}

// Parse implements Value.
func (o optionalDuration) Parse(text string) error {
	if text == "" {
		*o.target = UnsetDuration
		return nil
	}
	return o.Value.Parse(text)
}

// Range implements Value.
func (o optionalDuration) Range() string {
	return o.Value.Range() + ", or empty"
}

func parseDuration(text string) (time.Duration, bool) {
	value, err := time.ParseDuration(text)
	return value, err == nil
}
