package settings

import "cmp"

// bounded is a Value with a range.
type bounded[T cmp.Ordered] struct {
	target *T
	unit   string
	min    T
	max    T
	parse  func(text string) (T, bool)
	format func(value T) string
}

// Parse implements Value.
func (b bounded[T]) Parse(text string) error {
	value, ok := b.parse(text)
	if !ok {
		return &FormatError{Text: text, Want: b.unit}
	}
	if value < b.min || value > b.max {
		return &RangeError{Text: text, Min: b.format(b.min), Max: b.format(b.max)}
	}
	*b.target = value
	return nil
}

// Unit implements Value.
func (b bounded[T]) Unit() string {
	return b.unit
}

// Range implements Value.
func (b bounded[T]) Range() string {
	return b.format(b.min) + " to " + b.format(b.max)
}
