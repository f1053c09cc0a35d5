package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/heldbytes"
)

// Guards against callers that do not read their answers and so keep all others from theirs.
func TestStalledCallerMakesRoom(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	f := newFixture(t, respondWith(large))
	f.gateway.answers = heldbytes.NewBudget(3 << 20)
	server := httptest.NewUnstartedServer(f.gateway)
	// The kernel takes little of the first answer, so that most of it waits for its caller.
	var first sync.Once
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		first.Do(func() { _ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10) })
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nKey: k\r\nContent-Length: 2\r\n\r\nhi")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	stalled, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer stalled.Body.Close()
	assert.Equal(t, stalled.StatusCode, http.StatusOK)
	response, body, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	// The kernel may go on to take parts of the first answer for a while.
	for tries := 0; response.StatusCode != http.StatusOK && tries < 60; tries++ {
		time.Sleep(heldbytes.StalledAfter / 4)
		response, body, err = f.send(t, "/once/", nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, body == large)
	_, err = io.Copy(io.Discard, stalled.Body)
	assert.Assert(t, err != nil, "the answer that was dropped looks complete")
	for f.held() > 0 {
		time.Sleep(time.Millisecond)
	}
}
