package httpcall

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/heldbytes"
)

const maxErrorBytes = 64 << 10

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	timeout    time.Duration
}

// New returns a client of the service.
func New(config Config) *Client {
	return &Client{baseURL: config.baseURL(), httpClient: config.httpClient(), timeout: config.Timeout}
}

// Timeout returns the configured timeout of a call; 0 is none.
func (c *Client) Timeout() time.Duration {
	return c.timeout
}

// Do sends the request and reads the response, whatever its status. It blocks
// until the response is complete, the timeout passes or ctx ends. Errors are
// *TransportError, which wraps heldbytes.ErrNoRoom if the body finds no room in memory, and
// *TooLargeError if the body exceeds maxBytes.
func (c *Client) Do(ctx context.Context, request Request, maxBytes int64) (*Response, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	response, err := c.Open(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return readResponse(response, maxBytes, request.Held)
}

// Status sends the request and returns the status of the response, whose body is not read. It blocks
// until the response header has arrived, the timeout passes or ctx ends. Errors are *TransportError.
func (c *Client) Status(ctx context.Context, request Request) (int, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	response, err := c.Open(ctx, request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// Call is Do, but returns a response that is not a success as *StatusError.
func (c *Client) Call(ctx context.Context, request Request, maxBytes int64) (*Response, error) {
	response, err := c.Do(ctx, request, maxBytes)
	if err != nil {
		return nil, err
	}
	if !response.Succeeded() {
		return nil, response.StatusError()
	}
	return response, nil
}

// Open sends the request and returns once the response header has arrived; the
// caller closes the body. The client's timeout does not apply. Errors are
// *TransportError.
func (c *Client) Open(ctx context.Context, request Request) (*http.Response, error) {
	// Each of the kept-alive connections may turn out to be unusable.
	for range maxIdleConnsPerHost {
		var progress connguard.Progress
		response, err := c.send(ctx, request, &progress)
		if err == nil || !progress.LostIdleConn() {
			return response, err
		}
	}
	return c.send(ctx, request, new(connguard.Progress))
}

// send sends the request, which net/http may repeat unless NoReplay is set.
func (c *Client) send(ctx context.Context, request Request, progress *connguard.Progress) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &TransportError{Cause: err}
	}
	httpRequest, err := c.newHTTPRequest(connguard.WithProgress(ctx, progress), request)
	if err != nil {
		return nil, &TransportError{Cause: err}
	}
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return nil, &TransportError{MaybeSent: progress.MaybeSent(), Cause: err}
	}
	if err := RefuseSwitch(response); err != nil {
		return nil, &TransportError{MaybeSent: true, Cause: err}
	}
	if request.Belongs != nil && !request.Belongs(response.StatusCode, response.Header) {
		// The response to this request may still follow.
		progress.Retire()
		_ = response.Body.Close()
		return nil, &TransportError{MaybeSent: true, Cause: &ForeignResponseError{Status: response.StatusCode, Header: response.Header}}
	}
	return response, nil
}

// ReadStatusError reads the body of a response of Open that is not a success.
func ReadStatusError(response *http.Response) (*StatusError, error) {
	complete, err := readResponse(response, maxErrorBytes, nil)
	if err != nil {
		return nil, err
	}
	return complete.StatusError(), nil
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.timeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.timeout)
}

func (c *Client) newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, c.baseURL+request.Path, bodyReader(request))
	if err != nil {
		return nil, err
	}
	for name, values := range request.Header {
		httpRequest.Header[name] = values
	}
	if request.NoReplay {
		httpRequest.ContentLength = int64(len(request.Body))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(httpRequest.Header))
	return httpRequest, nil
}

// bodyReader hides the type of the reader if the request must not be replayed,
// so that net/http cannot rewind it.
func bodyReader(request Request) io.Reader {
	if !request.NoReplay {
		return bytes.NewReader(request.Body)
	}
	return io.MultiReader(bytes.NewReader(request.Body))
}

func readResponse(response *http.Response, maxBytes int64, held *heldbytes.Held) (*Response, error) {
	data, err := heldbytes.ReadAll(LimitReader(response.Body, maxBytes), held)
	var tooLarge *TooLargeError
	if errors.As(err, &tooLarge) {
		return nil, tooLarge
	}
	if err != nil {
		return nil, &TransportError{MaybeSent: true, Cause: held.Cause(err)}
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}
