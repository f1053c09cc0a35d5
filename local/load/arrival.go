package load

import (
	"fmt"
	"strings"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// Class is the sort of an arrival.
type Class uint8

// The classes of arrivals.
const (
	ClassModel Class = iota
	ClassPurchase
	// ClassCrash is a model call that crashes the engine that runs it.
	ClassCrash
)

// Arrival is one call of a caller, resends not counted.
type Arrival struct {
	At    time.Duration // Since the start of the load.
	ID    string
	Class Class
	Rank  core.Rank
	From  scenario.Organisation
	// Resend says that the caller sends the call again through another
	// entry.
	Resend bool
	// Overlap says that a purchase is sent again before the first answer.
	Overlap bool
	// Prefix is the number of the shared prompt prefix.
	Prefix int
}

const (
	prefixesPerOrganisation = 4
	prefixRepeats           = 16
)

// Prompt returns the prompt of a model call. Calls of one organisation share
// a few long prefixes.
func (a *Arrival) Prompt() string {
	phrase := fmt.Sprintf("%s asks in form %d. ", a.From.ID, a.Prefix)
	marker := ""
	if a.Class == ClassCrash {
		marker = crashMarker
	}
	return strings.Repeat(phrase, prefixRepeats) + marker + " call " + a.ID
}

// Body returns the request body of a purchase.
func (a *Arrival) Body() []byte {
	return fmt.Appendf(nil, `{"call":%q,"stamps":1}`, a.ID)
}
