package settings

import (
	"math"
	"strconv"
)

// Int binds a key to a whole number.
func Int(target *int, lowest, highest int) Value {
	return boundedValue[int]{
		target: target,
		syntax: "a whole number",
		min:    lowest,
		max:    highest,
		parse:  parseInt,
		format: strconv.Itoa,
	}
}

// Float binds a key to a number.
func Float(target *float64, lowest, highest float64) Value {
	return boundedValue[float64]{
		target: target,
		syntax: "a number",
		min:    lowest,
		max:    highest,
		parse:  parseFloat,
		format: formatFloat,
	}
}

// Ratio binds a key to a number from 0 to 1.
func Ratio(target *float64) Value {
	return boundedValue[float64]{
		target: target,
		syntax: "a ratio",
		min:    0,
		max:    1,
		parse:  parseFloat,
		format: formatFloat,
	}
}

// Seed binds a key to the seed of a random generator.
func Seed(target *int64) Value {
	return boundedValue[int64]{
		target: target,
		syntax: "a whole number",
		min:    0,
		max:    maxSeed,
		parse:  parseInt64,
		format: func(value int64) string { return strconv.FormatInt(value, 10) },
	}
}

const maxSeed = 1<<53 - 1

func parseInt(text string) (int, bool) {
	value, err := strconv.Atoi(text)
	return value, err == nil
}

func parseInt64(text string) (int64, bool) {
	value, err := strconv.ParseInt(text, 10, 64)
	return value, err == nil
}

func parseFloat(text string) (float64, bool) {
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && !math.IsNaN(value)
}

func formatFloat(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}
