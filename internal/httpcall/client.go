package httpcall

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"go.opentelemetry.io/otel/propagation"
)

const maxErrorBytes = 64 << 10

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the service.
func New(config Config) *Client {
	return &Client{base: config.base(), http: config.client(), timeout: config.Timeout}
}

// Timeout returns the configured limit of a call, 0 for none.
func (c *Client) Timeout() time.Duration {
	return c.timeout
}

// Do sends the request and reads the answer, whatever its status. It blocks
// until the answer is whole, the timeout passes or ctx ends. Errors are
// *TransportError, *TooLargeError and *FormatError.
func (c *Client) Do(ctx context.Context, request Request, limit int64) (*Response, error) {
	ctx, cancel := c.limit(ctx)
	defer cancel()
	response, err := c.Open(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return read(response, limit)
}

// Call is Do with a status other than success returned as *StatusError.
func (c *Client) Call(ctx context.Context, request Request, limit int64) (*Response, error) {
	response, err := c.Do(ctx, request, limit)
	if err != nil {
		return nil, err
	}
	if !response.Succeeded() {
		return nil, response.StatusError()
	}
	return response, nil
}

// Open sends the request and returns once the answer's header has arrived;
// the caller closes the body. The client's timeout does not apply. Errors are
// *TransportError and *FormatError.
func (c *Client) Open(ctx context.Context, request Request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &TransportError{Cause: err}
	}
	var progress sendProgress
	built, err := c.build(httptrace.WithClientTrace(ctx, progress.trace()), request)
	if err != nil {
		return nil, &TransportError{Cause: err}
	}
	response, err := c.http.Do(built)
	if err != nil {
		return nil, &TransportError{Sent: progress.sent(), Cause: err}
	}
	return response, nil
}

// ReadError reads the body of an opened answer that is not a success.
func ReadError(response *http.Response) (*StatusError, error) {
	whole, err := read(response, maxErrorBytes)
	if err != nil {
		return nil, err
	}
	return whole.StatusError(), nil
}

func (c *Client) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.timeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}

func (c *Client) build(ctx context.Context, request Request) (*http.Request, error) {
	built, err := http.NewRequestWithContext(ctx, request.Method, c.base+request.Path, body(request))
	if err != nil {
		return nil, err
	}
	for name, values := range request.Header {
		built.Header[name] = values
	}
	if request.NoReplay {
		built.ContentLength = int64(len(request.Body))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(built.Header))
	return built, nil
}

// body hides the type of the reader where the request must not be replayed,
// so that net/http cannot rewind it.
func body(request Request) io.Reader {
	if !request.NoReplay {
		return bytes.NewReader(request.Body)
	}
	return io.MultiReader(bytes.NewReader(request.Body))
}

func read(response *http.Response, limit int64) (*Response, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, &TransportError{Sent: true, Cause: err}
	}
	if int64(len(data)) > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}
