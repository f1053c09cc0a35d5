package settings

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Reasons of an Error that need no further detail.
var (
	ErrUnknownSection     = eris.New("section does not exist")
	ErrUnknownKey         = eris.New("key does not exist in this section")
	ErrDuplicateKey       = eris.New("duplicate key")
	ErrDuplicateSection   = eris.New("duplicate section")
	ErrMissingKey         = eris.New("key is required")
	ErrKeyOutsideSection  = eris.New("key appears before the first section")
	ErrSyntax             = eris.New("line is not a section, a comment or key = value")
	ErrMissingSectionName = eris.New("section needs a name, as in [section NAME]")
	ErrMultilineValue     = eris.New("multi-line values are not supported")
)

// Error reports an error in a settings file. Line is 0 if the file could not be
// read. For a missing key it is the line of the section, or 1 if that is missing
// too.
type Error struct {
	File    string
	Line    int
	Section string
	Key     string
	Reason  error
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	if e.Section != "" {
		fmt.Fprintf(&b, "[%s] ", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, "%s: ", e.Key)
	}
	b.WriteString(e.Reason.Error())
	return b.String()
}

// Unwrap returns the reason.
func (e *Error) Unwrap() error {
	return e.Reason
}
