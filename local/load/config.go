package load

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// The names that the calls of a run use.
const (
	ModelName        = "local-model"
	ServiceName      = "counter"
	PurchaseName     = "purchase"
	KindHeader       = "Snipestep-Kind"
	CallIDHeader     = "Snipestep-Call-Id"
	VersionHeader    = "Snipestep-Model-Version"
	IdempotencyKey   = "Idempotency-Key"
	crashMarker      = "CRASH:"
	completionPath   = "/v1/chat/completions"
	purchasePath     = "/v1/services/" + ServiceName + "/" + PurchaseName
	contentTypeJSON  = "application/json"
	contentTypeEvent = "text/event-stream"
)

// Kind returns the kind of work under which calls of a rank are sent.
func Kind(rank core.Rank) string {
	return rank.String()
}

// Config says what a generator sends and how it checks the answers.
type Config struct {
	Scenario *scenario.Scenario
	// Entries are the HTTP addresses of the entries, IP:port.
	Entries []string
	Oracle  Oracle
}

// Oracle knows what the fakes saw. Its functions are safe for concurrent use.
type Oracle struct {
	// TokenText is the right text of a token.
	TokenText func(prompt, version string, index int) string
	// PlainBody is the right answer of a plain operation.
	PlainBody func(operation string, body []byte) []byte
	// Begun is the number of attempts with the prompt that began.
	Begun func(prompt string) int
	// Runs is the number of purchases that ran under the key.
	Runs func(idempotencyKey string) int
}
