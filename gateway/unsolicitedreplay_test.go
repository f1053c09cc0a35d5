package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that net/http itself writes a second time after a kept connection
// broke: it does so for methods, and with headers, that promise that a second run is harmless,
// whatever the route says.
func TestTransportNeverSendsARequestTwice(t *testing.T) {
	for name, modify := range map[string]func(*http.Request){
		"GET":                 func(r *http.Request) { r.Method, r.Body, r.ContentLength = http.MethodGet, nil, 0 },
		"Idempotency-Key":     func(r *http.Request) { r.Header.Set("Idempotency-Key", "a") },
		"X-Idempotency-Key":   func(r *http.Request) { r.Header.Set("X-Idempotency-Key", "a") },
		"POST without a body": func(r *http.Request) { r.Body, r.ContentLength = nil, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
				text := e.run(r)
				if requestNumber > 1 {
					_ = w.(net.Conn).Close()
					return
				}
				_, _ = io.WriteString(w, text)
			})
			f := newRawFixture(t, 1, endpoint)
			for i, id := range []string{"41", "42"} {
				response, _, err := f.send(t, "/once/", func(r *http.Request) {
					r.Header.Set("Id", id)
					modify(r)
				})
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, []int{http.StatusOK, http.StatusBadGateway}[i])
			}
			assert.Equal(t, endpoint.runs.Load(), int64(2))
		})
	}
}
