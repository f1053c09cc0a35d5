package endpoint

import "github.com/snipestep/snipestep/core"

// CompletionRequest is the JSON body of a request to generate a completion.
type CompletionRequest struct {
	Model        string      `json:"model"`
	Prompt       string      `json:"prompt"`
	MaxTokens    int         `json:"max_tokens"`
	Stream       bool        `json:"stream"`
	Priority     int         `json:"priority"`
	Version      string      `json:"version"`
	Manifest     core.Digest `json:"manifest"`
	PrefixTokens []string    `json:"prefix_tokens,omitempty"`
	CacheHandle  string      `json:"cache_handle,omitempty"`
}

// CompletionEvent is the JSON of one server-sent event.
type CompletionEvent struct {
	ID         string             `json:"id"` // Attempt identifier.
	Object     string             `json:"object"`
	Model      string             `json:"model"`
	Version    string             `json:"version"`
	TokenIndex int                `json:"token_index"`
	Choices    []CompletionChoice `json:"choices"`
}

// CompletionChoice is the text of one event. FinishReason is set only in the
// last event of the answer.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// CompletionObject is the value of CompletionEvent.Object.
const CompletionObject = "text_completion"

// CompletionEnd is the data of the event that terminates a stream.
const CompletionEnd = "[DONE]"

// ExportDocument is the response to a KV cache export.
type ExportDocument struct {
	Handle string `json:"handle"`
}
