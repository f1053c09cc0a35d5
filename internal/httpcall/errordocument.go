package httpcall

import (
	"encoding/json"
	"net/http"
)

// ErrorDocument is the JSON body of an answer that is not a success.
type ErrorDocument struct {
	// Code names the error, e.g. "key_not_found".
	Code string `json:"code"`
	// Detail explains the error to a person.
	Detail string `json:"detail,omitempty"`
	// Version is the version found, with "conflict" only.
	Version uint64 `json:"version,omitempty"`
	// HighestFence is the highest fencing number seen, with "fenced" only.
	HighestFence uint64 `json:"highest_fence,omitempty"`
	// RetryAfterMS says when to retry, in milliseconds; 0 when unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// WriteError answers with an error document.
func WriteError(w http.ResponseWriter, status int, document ErrorDocument) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

// WriteJSON answers 200 with a JSON body.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
