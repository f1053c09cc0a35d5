package endpoint

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
)

// GenerateRequest asks an engine to run one attempt of a model call.
type GenerateRequest struct {
	// Attempt identifies the attempt; each event of the answer carries it.
	Attempt string
	Prompt  string
	// MaxTokens limits the tokens of the whole answer, including PrefixTokens.
	MaxTokens int
	// PrefixTokens are the tokens that the caller has already received; the
	// stream continues after them.
	PrefixTokens []string
	// Priority orders the engine's queue; lower values go first.
	Priority int
	// CacheHandle names an exported KV cache to import; empty for none.
	CacheHandle string
	Model       core.ModelRef
	// OnNotice gets what the header of an answer says of the engine, also of an answer to
	// another request; nil ignores it.
	OnNotice func(Notice)
	// Held counts what is read of a line of the stream; nil counts nothing. It is used by Next
	// only.
	Held *heldbytes.Held
}
