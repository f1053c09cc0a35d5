package connguard

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCheckHead measures the decision on a sound head.
func BenchmarkCheckHead(b *testing.B) {
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Content-Length", "Date", "X-A", "X-B", "X-C", "X-D", "X-E", "X-F"} {
		header.Set(name, "x")
	}
	for b.Loop() {
		if err := checkHead(http.StatusOK, header); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCall measures what the checks of a Transport cost a call on a kept-alive connection.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, name := range []string{"A", "B", "C", "D", "E", "F"} {
			w.Header().Set("X-"+name, name)
		}
		_, _ = io.WriteString(w, "body")
	}))
	defer server.Close()
	for name, wrap := range map[string]func(*http.Transport) http.RoundTripper{
		"unchecked": func(t *http.Transport) http.RoundTripper { return t },
		"checked":   func(t *http.Transport) http.RoundTripper { return NewTransport(t) },
	} {
		b.Run(name, func(b *testing.B) {
			base := &http.Transport{DialContext: Wrap(new(net.Dialer).DialContext)}
			defer base.CloseIdleConnections()
			transport := wrap(base)
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequestWithContext(WithProgress(b.Context(), new(Progress)), http.MethodGet, server.URL, http.NoBody)
				assert.NilError(b, err)
				response, err := transport.RoundTrip(request)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(b, err)
				_ = response.Body.Close()
			}
		})
	}
}
