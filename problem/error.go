package problem

import "fmt"

// Error is a problem document received in response to a request.
type Error struct {
	Problem Problem
}

// Error implements error.
func (e *Error) Error() string {
	p := e.Problem
	return fmt.Sprintf("%d %s (%s): %s", p.Status, p.Title, p.Code, p.Detail)
}
