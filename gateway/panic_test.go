package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// panickingTransport panics with the first request.
type panickingTransport struct{}

// RoundTrip implements http.RoundTripper.
func (panickingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	panic("fault")
}

// Guards against a request that ends without an answer and without a line in the log.
func TestPanicOfTheHandlerIsLogged(t *testing.T) {
	f := newOfflineFixture()
	f.addEndpoint("127.0.0.1:1")
	f.gateway.deps.Transport = panickingTransport{}
	var log logRecorder
	f.gateway.deps.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/once/", http.NoBody)
	r.Header.Set("Id", "17")
	r.Header.Set("Key", "k")
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		f.gateway.ServeHTTP(httptest.NewRecorder(), r)
	}()
	lines := log.lines(t, "handler panicked")
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0]["request"], "17")
	assert.Equal(t, lines[0]["panic"], "fault")
	assert.Equal(t, log.lines(t, "request ended")[0]["outcome"], "panicked")
}
