//go:build unix

package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

const closedConns = 100

// Guards against a request that fails, with an outcome unknown, because the server
// had closed a kept-alive connection before it.
func TestConnectionClosedWhileIdleHarmsNoRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_ = conn.Close()
	}))
	defer server.Close()
	var last net.Conn
	transport := NewTransport()
	transport.DialContext = guardConns(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		last = conn
		return conn, err
	})
	client := New(Config{BaseURL: server.URL, Client: &http.Client{Transport: transport}})
	for range closedConns {
		_, err := client.Call(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("b"), NoReplay: true}, 1)
		assert.NilError(t, err)
		for !isClosed(last) && !hasUnread(last) {
			runtime.Gosched()
		}
	}
}

// isClosed reports whether this side has closed conn.
func isClosed(conn net.Conn) bool {
	_, err := conn.Write(nil)
	return err != nil
}
