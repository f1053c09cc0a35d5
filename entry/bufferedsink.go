package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"unicode/utf8"
)

// bufferedSink buffers a response and sends it as one JSON document.
type bufferedSink struct {
	w      http.ResponseWriter
	id     string
	model  string
	tokens []string
}

// writeToken implements tokenSink.
func (s *bufferedSink) writeToken(_, text string) error {
	s.tokens = append(s.tokens, text)
	return nil
}

// finish implements tokenSink.
func (s *bufferedSink) finish(version string, tokens int) error {
	reason := finishStop
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(versionHeader, version)
	return json.NewEncoder(s.w).Encode(chatChunk{
		ID:     s.id,
		Object: objectCompletion,
		Model:  s.model,
		Choices: []chatChoice{{
			Message:      &chatMessage{Role: "assistant", Content: strings.Join(s.tokens, "")},
			FinishReason: &reason,
		}},
		Usage: &chatUsage{CompletionTokens: tokens},
	})
}

// restart implements tokenSink.
func (s *bufferedSink) restart() {
	s.tokens = nil
}

// encodedBytes implements tokenSink: the tokens are joined, then encoded.
func (s *bufferedSink) encodedBytes() int {
	size := 0
	for _, token := range s.tokens {
		size += 2*len(token) + escapeBytes(token)
	}
	return size
}

// escapeBytes returns by how many bytes JSON makes a text longer. encoding/json escapes these
// characters with up to six bytes for each.
func escapeBytes(text string) int {
	const longestEscape = len(`\u003c`)
	size := 0
	for _, c := range text {
		if c < ' ' || strings.ContainsRune("\"\\<>&\u2028\u2029", c) || c == utf8.RuneError {
			size += longestEscape - 1
		}
	}
	return size
}

// interrupt implements tokenSink. Nothing is written before the response is complete.
func (s *bufferedSink) interrupt() {}

// hasDelivered implements tokenSink.
func (s *bufferedSink) hasDelivered() bool {
	return false
}
