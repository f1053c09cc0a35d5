package httpcall

import (
	"encoding/json"
	"net/http"
)

// ErrorDocument is the JSON body of a response that is not a success.
type ErrorDocument struct {
	// Code names the error, e.g. "key_not_found".
	Code string `json:"code"`
	// Detail explains the error to a person.
	Detail string `json:"detail,omitempty"`
	// Version is the version found; set only with code "conflict".
	Version uint64 `json:"version,omitempty"`
	// HighestFence is the highest fencing number seen; set only with code
	// "fenced".
	HighestFence uint64 `json:"highest_fence,omitempty"`
	// RetryAfterMS is the time to wait before a retry; 0 if unknown.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// WriteError writes a response with an error document.
func WriteError(w http.ResponseWriter, status int, document ErrorDocument) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

// WriteJSON writes a response with status 200 and a JSON body.
func WriteJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
