package entry

import (
	"encoding/json"
	"net/http"
	"strings"
)

// wholeSink collects an answer and sends it as one JSON document.
type wholeSink struct {
	w      http.ResponseWriter
	id     string
	model  string
	tokens []string
}

// token implements tokenSink.
func (s *wholeSink) token(_, text string) error {
	s.tokens = append(s.tokens, text)
	return nil
}

// done implements tokenSink.
func (s *wholeSink) done(version string, tokens int) error {
	reason := finishStop
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(versionHeader, version)
	return json.NewEncoder(s.w).Encode(chatChunk{
		ID:     s.id,
		Object: objectWhole,
		Model:  s.model,
		Choices: []chatChoice{{
			Message:      &chatMessage{Role: "assistant", Content: strings.Join(s.tokens, "")},
			FinishReason: &reason,
		}},
		Usage: &chatUsage{CompletionTokens: tokens},
	})
}

// restart implements tokenSink.
func (s *wholeSink) restart() {
	s.tokens = nil
}

// delivered implements tokenSink.
func (s *wholeSink) delivered() bool {
	return false
}
