package fakes

import (
	"net/http"
	"strconv"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// refuse answers with an error document.
func refuse(w http.ResponseWriter, status int, code string) {
	httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: code, Detail: http.StatusText(status)})
}

// refuseLimited answers 429.
func refuseLimited(w http.ResponseWriter, retryAfterMS int64) {
	document := httpcall.ErrorDocument{Code: backing.CodeLimited, RetryAfterMS: retryAfterMS}
	httpcall.WriteError(w, http.StatusTooManyRequests, document)
}

// abort drops the connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}

func queryUint(r *http.Request, name string) (uint64, bool) {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return value, err == nil
}
