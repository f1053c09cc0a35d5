package httpcall_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/httpcall"
)

func TestRedirectIsNotFollowed(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := httpcall.New(httpcall.Config{BaseURL: server.URL})
	_, err := client.Call(t.Context(), httpcall.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")}, 10)
	var statusErr *httpcall.StatusError
	assert.Assert(t, errors.As(err, &statusErr), "got %v", err)
	assert.Equal(t, statusErr.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, calls.Load(), int64(1))
}

func TestOversizedResponseIsRejected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "12345678901")
	}))
	defer server.Close()
	client := httpcall.New(httpcall.Config{BaseURL: server.URL})
	_, err := client.Call(t.Context(), httpcall.Request{Method: http.MethodGet, Path: "/"}, 10)
	var tooLarge *httpcall.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "got %v", err)
}

// TestRequestWithIdempotencyKeyIsNotReplayed breaks a kept-alive connection
// after the second request has arrived on it. net/http replays a request with an
// Idempotency-Key unless its body cannot be rewound.
func TestRequestWithIdempotencyKeyIsNotReplayed(t *testing.T) {
	for name, body := range map[string][]byte{"body": []byte("x"), "no body": nil} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if requests.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := httpcall.New(httpcall.Config{BaseURL: server.URL})
			request := httpcall.Request{
				Method:   http.MethodPost,
				Path:     "/",
				Header:   http.Header{"Idempotency-Key": {"k"}},
				Body:     body,
				NoReplay: true,
			}
			_, err := client.Call(t.Context(), request, 10)
			assert.NilError(t, err)
			_, err = client.Call(t.Context(), request, 10)
			var transport *httpcall.TransportError
			assert.Assert(t, errors.As(err, &transport), "got %v", err)
			assert.Assert(t, transport.MaybeSent)
			assert.Equal(t, requests.Load(), int64(2))
		})
	}
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	client := httpcall.New(httpcall.Config{BaseURL: "http://" + listener.Addr().String()})
	_, err = client.Call(t.Context(), httpcall.Request{Method: http.MethodGet, Path: "/"}, 10)
	var transport *httpcall.TransportError
	assert.Assert(t, errors.As(err, &transport), "got %v", err)
	assert.Assert(t, !transport.MaybeSent)
}
