package settings

import "fmt"

// FormatError reports a value in the wrong format.
type FormatError struct {
	Text string
	Want string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%q is not %s", e.Text, e.Want)
}

// RangeError reports a value outside its range.
type RangeError struct {
	Text string
	Min  string
	Max  string
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is out of range, want %s to %s", e.Text, e.Min, e.Max)
}

// ConflictError reports a value that conflicts with another key.
type ConflictError struct {
	Detail string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return e.Detail
}
