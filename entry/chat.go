package entry

// chatRequest is the body of a chat or plain completion request, in the
// format common among model servers. Unknown fields are ignored.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Prompt    string        `json:"prompt"` // Used if Messages is empty.
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatChunk is one event of a streamed response, or a response that is not
// streamed.
type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatChoice is the single choice of a response. Delta is set in stream
// events, Message in responses that are not streamed.
type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatUsage counts the tokens of a response.
type chatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	finishStop       = "stop"
)
