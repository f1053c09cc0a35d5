package endpoint

import (
	"context"
	"net/http"
	"net/url"

	"github.com/snipestep/snipestep/internal/httpcall"
)

// MaxPlainBytes is the longest answer of a plain service.
const MaxPlainBytes = 8 << 20

// HTTPPlain is the HTTP client of a plain service. It is safe for concurrent
// use.
type HTTPPlain struct {
	client *httpcall.Client
}

var _ Plain = (*HTTPPlain)(nil)

// NewHTTPPlain returns a client of the service.
func NewHTTPPlain(config HTTPConfig) *HTTPPlain {
	return &HTTPPlain{client: httpcall.New(config)}
}

// Call implements Plain. The request is sent on one connection only, also
// where net/http would replay one with an Idempotency-Key.
func (p *HTTPPlain) Call(ctx context.Context, request PlainRequest) (PlainResponse, error) {
	response, err := p.client.Do(ctx, plainCall(request), MaxPlainBytes)
	if err != nil {
		return PlainResponse{}, mapError(request.Attempt, err)
	}
	return plainAnswer(request.Attempt, response)
}

// Up implements Plain. Any answer but 503 counts, also to a path that the
// service does not know.
func (p *HTTPPlain) Up(ctx context.Context) bool {
	response, err := p.client.Do(ctx, httpcall.Request{Method: http.MethodGet, Path: "/"}, MaxPlainBytes)
	return err == nil && response.Status != http.StatusServiceUnavailable
}

func plainCall(request PlainRequest) httpcall.Request {
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	header.Set(AttemptHeader, request.Attempt)
	if request.IdempotencyKey != "" {
		header.Set(IdempotencyKeyHeader, request.IdempotencyKey)
	}
	return httpcall.Request{
		Method:   http.MethodPost,
		Path:     "/v1/operations/" + url.PathEscape(request.Operation),
		Header:   header,
		Body:     request.Body,
		NoReplay: true,
	}
}

// plainAnswer tells the operation's own answer from a refusal before work.
func plainAnswer(attempt string, response *httpcall.Response) (PlainResponse, error) {
	got := response.Header.Get(AttemptHeader)
	if got != "" && got != attempt {
		return PlainResponse{}, &ForeignAnswerError{Attempt: attempt, Got: got}
	}
	if response.Header.Get(RunHeader) == RunNotRun {
		return PlainResponse{}, notStarted(attempt, response.StatusError())
	}
	if got == "" {
		return PlainResponse{}, mapError(attempt, response.StatusError())
	}
	return PlainResponse{Attempt: got, Status: response.Status, Body: response.Body}, nil
}
