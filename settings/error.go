package settings

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// The reasons that carry no value of their own.
var (
	ErrUnknownSection   = eris.New("section does not exist")
	ErrUnknownKey       = eris.New("key does not exist in this section")
	ErrDuplicateKey     = eris.New("key is given twice")
	ErrDuplicateSection = eris.New("section is given twice")
	ErrMissing          = eris.New("key is required")
	ErrNoSection        = eris.New("key stands before the first section")
	ErrSyntax           = eris.New("line is neither a section, a comment nor key = value")
	ErrNameMissing      = eris.New("section needs a name, as in [section NAME]")
	ErrMultiline        = eris.New("values over several lines are not accepted")
)

// Error reports one fault of a settings file. Line is 0 when the file could
// not be read; a missing key has the line of its section, or 1.
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
