package gateway

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// startServer runs a Server in front of a gateway and returns its address for callers.
func startServer(t *testing.T, f *fixture) string {
	t.Helper()
	server := &Server{Gateway: f.gateway, CallerAddr: freeAddr(t), ReadyAddr: freeAddr(t), Logger: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	return server.CallerAddr
}

// exchange sends bytes and returns the status of the first response on the connection.
func exchange(t *testing.T, conn net.Conn, text string) int {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// headOf returns a header section of exactly size bytes, the empty line included, made of as many
// lines of four bytes as fit.
func headOf(size int) string {
	head := "GET /once/ HTTP/1.1\nHost: h.example\nKey: k\nId: 42\n"
	fill := size - len(head) - len("\n")
	// One longer line takes what lines of four bytes leave.
	long := 8 + fill%4
	return head + strings.Repeat("x", long-len(":\n")) + ":\n" + strings.Repeat("ab:\n", (fill-long)/4) + "\n"
}

// Guards against 431 for a header section within the document's limit that is made of the shortest
// lines, and against a limit that is never met.
func TestHeaderIsMeasuredAsSent(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) })
	address := startServer(t, f)
	for name, c := range map[string]struct {
		head string
		want int
	}{
		"legal":          {headOf(testHeaderBytes), http.StatusOK},
		"over the limit": {headOf(testHeaderBytes + 64), http.StatusRequestHeaderFieldsTooLarge},
		"far over it":    {headOf(3 * testHeaderBytes), http.StatusRequestHeaderFieldsTooLarge},
		"HTTP/1.0":       {"GET /once/ HTTP/1.0\nHost: h.example\nKey: k\nId: 42\n\n", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dialWhenListening(t, address)
			defer conn.Close()
			assert.Equal(t, exchange(t, conn, c.head), c.want)
		})
	}
}
