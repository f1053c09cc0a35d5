package endpoint

import "github.com/snipestep/snipestep/core"

// GenerateRequest asks an engine to run one attempt of a model call.
type GenerateRequest struct {
	// Attempt names the attempt; each event of the answer carries it.
	Attempt string
	Prompt  string
	// MaxTokens limits the tokens of the whole answer, those of
	// PrefixTokens included.
	MaxTokens int
	// PrefixTokens are tokens that the caller has already; the stream
	// continues after them.
	PrefixTokens []string
	// Priority orders the engine's queue, lower values first.
	Priority int
	// CacheHandle imports an exported KV cache; empty for none.
	CacheHandle string
	Model       core.ModelRef
}
