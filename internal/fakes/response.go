package fakes

import (
	"net/http"
	"strconv"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// writeError writes an error document whose detail is the status text.
func writeError(w http.ResponseWriter, status int, code string) {
	httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: code, Detail: http.StatusText(status)})
}

// writeRateLimited responds with 429.
func writeRateLimited(w http.ResponseWriter, retryAfterMS int64) {
	document := httpcall.ErrorDocument{Code: backing.CodeRateLimited, RetryAfterMS: retryAfterMS}
	httpcall.WriteError(w, http.StatusTooManyRequests, document)
}

// repeatAttempt puts the identifier of the request into its response.
func repeatAttempt(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(endpoint.AttemptHeader); attempt != "" {
		w.Header().Set(endpoint.AttemptHeader, attempt)
	}
}

// abortConnection drops the connection without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func queryUint(r *http.Request, name string) (uint64, bool) {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return value, err == nil
}
