package entry

import (
	"bytes"
	"encoding/json"
	"strings"
)

// chatRequest is the body of a chat or plain completion request, in the
// format common among model servers. Unknown fields are ignored.
type chatRequest struct {
	Model     string       `json:"model"`
	Messages  conversation `json:"messages"`
	Prompt    string       `json:"prompt"` // Used if Messages is empty.
	MaxTokens int          `json:"max_tokens"`
	Stream    bool         `json:"stream"`
}

// conversation is what the prompt is made of: the contents of the messages. They are decoded one at
// a time, as a list of empty messages takes twenty times its bytes.
type conversation struct {
	count    int
	contents string // Joined by line ends.
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *conversation) UnmarshalJSON(data []byte) error {
	*c = conversation{}
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return &json.UnmarshalTypeError{Value: "no array", Field: "messages"}
	}
	var contents strings.Builder
	for ; decoder.More(); c.count++ {
		var m chatMessage
		if err := decoder.Decode(&m); err != nil {
			return err
		}
		if c.count > 0 {
			contents.WriteByte('\n')
		}
		contents.WriteString(m.Content)
	}
	c.contents = contents.String()
	return nil
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
