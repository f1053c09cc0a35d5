package load

import (
	"fmt"
	"strings"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// Class is the kind of call that arrives.
type Class uint8

// The classes of arrivals.
const (
	ClassModel Class = iota
	ClassPurchase
	// ClassCrash is a model call that crashes the engine that runs it.
	ClassCrash
)

// Arrival is one call of a caller, which may be sent several times.
type Arrival struct {
	At           time.Duration // From the start of the load.
	ID           string
	Class        Class
	Rank         core.Rank
	Organisation scenario.Organisation
	// Resend makes the caller send the call again through another entry.
	Resend bool
	// Overlap makes the caller resend a purchase before the first response.
	Overlap bool
	// PrefixIndex selects one of the prompt prefixes of the organisation.
	PrefixIndex int
}

const (
	prefixesPerOrganisation = 4
	phrasesPerPrefix        = 16
)

// Prompt returns the prompt of a model call. The calls of an organisation share
// a few long prefixes.
func (a *Arrival) Prompt() string {
	phrase := fmt.Sprintf("%s asks in form %d. ", a.Organisation.ID, a.PrefixIndex)
	marker := ""
	if a.Class == ClassCrash {
		marker = crashMarker
	}
	return strings.Repeat(phrase, phrasesPerPrefix) + marker + " call " + a.ID
}

// Body returns the request body of a purchase.
func (a *Arrival) Body() []byte {
	return fmt.Appendf(nil, `{"call":%q,"stamps":1}`, a.ID)
}
