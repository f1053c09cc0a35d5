package load

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// Names in the requests and responses of a run.
const (
	ModelName              = "local-model"
	ServiceName            = "counter"
	PurchaseName           = "purchase"
	KindHeader             = "Snipestep-Kind"
	CallIDHeader           = "Snipestep-Call-Id"
	VersionHeader          = "Snipestep-Model-Version"
	IdempotencyKeyHeader   = "Idempotency-Key"
	crashMarker            = "CRASH:"
	completionPath         = "/v1/chat/completions"
	purchasePath           = "/v1/services/" + ServiceName + "/" + PurchaseName
	contentTypeJSON        = "application/json"
	contentTypeEventStream = "text/event-stream"
)

// Kind returns the kind of work that calls of a rank declare.
func Kind(rank core.Rank) string {
	return rank.String()
}

// Config configures a Generator.
type Config struct {
	Scenario *scenario.Scenario
	// Entries are the HTTP addresses of the entries, IP:port.
	Entries []string
	Oracle  Oracle
}

// Oracle supplies the expected responses and reports what the fake endpoints have run.
// Its functions are safe for concurrent use.
type Oracle struct {
	// TokenText returns the expected text of a token.
	TokenText func(prompt, version string, index int) string
	// PlainBody returns the expected response body of a plain operation.
	PlainBody func(operation string, body []byte) []byte
	// Begun returns the number of attempts with the prompt that have begun.
	Begun func(prompt string) int
	// Runs returns the number of times that a purchase ran under the key.
	Runs func(idempotencyKey string) int
}
