package settings

import "cmp"

// boundedValue is a Value with a minimum and a maximum.
type boundedValue[T cmp.Ordered] struct {
	target *T
	syntax string
	min    T
	max    T
	parse  func(text string) (T, bool)
	format func(value T) string
}

// Parse implements Value.
func (b boundedValue[T]) Parse(text string) error {
	value, ok := b.parse(text)
	if !ok {
		return &FormatError{Text: text, Want: b.syntax}
	}
	if value < b.min || value > b.max {
		return &RangeError{Text: text, Min: b.format(b.min), Max: b.format(b.max)}
	}
	*b.target = value
	return nil
}

// Syntax implements Value.
func (b boundedValue[T]) Syntax() string {
	return b.syntax
}

// Range implements Value.
func (b boundedValue[T]) Range() string {
	return b.format(b.min) + " to " + b.format(b.max)
}
