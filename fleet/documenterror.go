package fleet

import "fmt"

// DocumentError reports an invalid value in a Document.
type DocumentError struct {
	Field  string // Path of the value, e.g. "ranks[1].guaranteed_share".
	Detail string
}

// Error implements error.
func (e *DocumentError) Error() string {
	return fmt.Sprintf("configuration: %s: %s", e.Field, e.Detail)
}
