package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
)

const millisecondsPerSecond = 1000

// Write responds to a request with p. Empty Type, Title and Status take their
// defaults (TypeBlank, the status's text, 500). Retry-After is in seconds,
// rounded up. Write errors are ignored: a disconnected client is not an error.
func Write(w http.ResponseWriter, p Problem) {
	p = withDefaults(p)
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	if p.RetryAfterMS > 0 {
		header.Set("Retry-After", strconv.FormatInt(retryAfterSeconds(p.RetryAfterMS), 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

func withDefaults(p Problem) Problem {
	if p.Status == 0 {
		p.Status = http.StatusInternalServerError
	}
	if p.Type == "" {
		p.Type = TypeBlank
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	return p
}

func retryAfterSeconds(ms int64) int64 {
	seconds := ms / millisecondsPerSecond
	if ms%millisecondsPerSecond > 0 {
		seconds++
	}
	return seconds
}
