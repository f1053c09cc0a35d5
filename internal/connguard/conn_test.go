//go:build unix

package connguard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const closedConns = 100

// guardedTransport is a transport whose newest connection is known.
type guardedTransport struct {
	http.Transport
	last net.Conn
}

func newGuardedTransport() *guardedTransport {
	g := &guardedTransport{}
	g.DialContext = Wrap(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		g.last = conn
		return conn, err
	})
	return g
}

// post sends a request until it was written or failed for good.
func (g *guardedTransport) post(t *testing.T, url string) (*Progress, error) {
	t.Helper()
	for {
		progress := new(Progress)
		ctx := httptrace.WithClientTrace(t.Context(), progress.Trace())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.MultiReader(strings.NewReader("b")))
		assert.NilError(t, err)
		request.ContentLength = 1 // Head and body are written together.
		response, err := g.RoundTrip(request)
		if err == nil {
			return progress, response.Body.Close()
		}
		if !progress.LostIdleConn() {
			return progress, err
		}
	}
}

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
	transport := newGuardedTransport()
	for range closedConns {
		_, err := transport.post(t, server.URL)
		assert.NilError(t, err)
		for !isClosed(transport.last) && !hasUnread(transport.last) {
			runtime.Gosched()
		}
	}
}

// Guards against a request on a connection that was given up but that net/http has put back.
func TestRetiredConnectionCarriesNoRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	transport := newGuardedTransport()
	defer transport.CloseIdleConnections()
	for range closedConns {
		progress, err := transport.post(t, server.URL)
		assert.NilError(t, err)
		assert.Assert(t, !progress.connReused.Load())
		progress.Retire()
		assert.Assert(t, isClosed(transport.last))
	}
}

// isClosed reports whether this side has closed conn.
func isClosed(conn net.Conn) bool {
	_, err := conn.Write(nil)
	return err != nil
}
