package entry

// chatRequest is the body of a chat completion, in the form that model
// servers commonly speak. Unknown fields are ignored.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Prompt    string        `json:"prompt"` // Of a plain completion.
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatChunk is one event of a streamed answer.
type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatChoice is the single choice of an answer. Delta is set in events,
// Message in whole answers.
type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// chatUsage counts the tokens of an answer.
type chatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const (
	objectChunk = "chat.completion.chunk"
	objectWhole = "chat.completion"
	finishStop  = "stop"
)
