package problem

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
)

const maxProblemBytes = 64 << 10

// Read decodes the problem document of a response. A body that is not one
// becomes a problem with the response's status and no code. It reads at most
// 64 KiB and does not close the body.
func Read(r *http.Response) *Problem {
	fallback := New(r.StatusCode, "", "the answer is not a problem document")
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != ContentType {
		return fallback
	}
	var p Problem
	if err := json.NewDecoder(io.LimitReader(r.Body, maxProblemBytes)).Decode(&p); err != nil {
		return fallback
	}
	p.Status = r.StatusCode
	return &p
}
