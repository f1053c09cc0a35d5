package bearer

import (
	"net/http"
	"strings"
)

const (
	header = "Authorization"
	prefix = "Bearer "
)

// Token returns the bearer token of a request; ok is false if there is none.
func Token(r *http.Request) (token string, ok bool) {
	return strings.CutPrefix(r.Header.Get(header), prefix)
}

// SetToken sets the bearer token of a request.
func SetToken(r *http.Request, token string) {
	r.Header.Set(header, prefix+token)
}
