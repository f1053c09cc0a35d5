package bearer

import (
	"net/http"
	"strings"
)

const (
	header = "Authorization"
	prefix = "Bearer "
)

// Token returns the bearer token of a request; ok is false without one.
func Token(r *http.Request) (token string, ok bool) {
	return strings.CutPrefix(r.Header.Get(header), prefix)
}

// SetToken makes a request carry a bearer token.
func SetToken(r *http.Request, token string) {
	r.Header.Set(header, prefix+token)
}
