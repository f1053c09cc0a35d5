package endpoint

import (
	"context"
	"net/http"
	"net/url"

	"github.com/snipestep/snipestep/internal/httpcall"
)

// MaxPlainResponseBytes limits the response body of a plain service.
const MaxPlainResponseBytes = 8 << 20

// HTTPPlainService is the HTTP client of a plain service. It is safe for
// concurrent use.
type HTTPPlainService struct {
	client *httpcall.Client
}

var _ PlainService = (*HTTPPlainService)(nil)

// NewHTTPPlainService returns a client of the service.
func NewHTTPPlainService(config HTTPConfig) *HTTPPlainService {
	return &HTTPPlainService{client: httpcall.New(config)}
}

// Call implements PlainService. The request is sent on one connection only,
// although net/http would replay one with an Idempotency-Key.
func (p *HTTPPlainService) Call(ctx context.Context, request PlainRequest) (PlainResponse, error) {
	response, err := p.client.Do(ctx, plainHTTPRequest(request), MaxPlainResponseBytes)
	if err != nil {
		return PlainResponse{}, attemptError(request.Attempt, err)
	}
	return parsePlainResponse(request.Attempt, response)
}

// Available implements PlainService. Any status but 503 counts as available,
// including that of a path unknown to the service. The body is not read: it may be large, or have no
// end.
func (p *HTTPPlainService) Available(ctx context.Context) bool {
	status, err := p.client.Status(ctx, httpcall.Request{Method: http.MethodGet, Path: "/"})
	return err == nil && status != http.StatusServiceUnavailable
}

func plainHTTPRequest(request PlainRequest) httpcall.Request {
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
		Belongs:  noticing(repeats(request.Attempt), request.OnNotice),
		Held:     request.Held,
	}
}

// parsePlainResponse distinguishes the operation's answer from a refusal before
// the operation started.
func parsePlainResponse(attempt string, response *httpcall.Response) (PlainResponse, error) {
	if response.Header.Get(RunHeader) == RunNotRun {
		return PlainResponse{}, newNotStartedError(attempt, response.StatusError())
	}
	return PlainResponse{Attempt: attempt, Status: response.Status, Body: response.Body}, nil
}
