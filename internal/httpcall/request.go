package httpcall

import (
	"net/http"

	"github.com/snipestep/snipestep/internal/heldbytes"
)

// Request is one HTTP request.
type Request struct {
	Method string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// NoReplay prevents the transport from sending the request again when a
	// kept-alive connection breaks.
	NoReplay bool
	// Belongs reports whether a response is to this request; nil takes any. It gets the
	// status and the header.
	Belongs func(int, http.Header) bool
	// Held counts the body of the response that Do reads; nil counts nothing. The caller
	// releases it.
	Held *heldbytes.Held
}
