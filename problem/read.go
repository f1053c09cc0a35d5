package problem

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/snipestep/snipestep/internal/mediatype"
)

const maxProblemBytes = 64 << 10

// Read decodes the problem document of a response. For any other body it returns
// a problem with the response's status and no code. It reads at most 64 KiB and
// does not close the body.
func Read(r *http.Response) *Problem {
	fallback := New(r.StatusCode, "", "the response is not a problem document")
	if !mediatype.Is(r.Header, ContentType) {
		return fallback
	}
	var p Problem
	if err := json.NewDecoder(io.LimitReader(r.Body, maxProblemBytes)).Decode(&p); err != nil {
		return fallback
	}
	p.Status = r.StatusCode
	return &p
}
