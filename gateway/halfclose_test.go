package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sendOnConn sends a request on a connection of its own, and returns when the endpoint has it.
func sendOnConn(t *testing.T, f *fixture, path string, reached <-chan struct{}) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nId: 42\r\nContent-Length: 4\r\n\r\nbody")
	assert.NilError(t, err)
	<-reached
	return conn.(*net.TCPConn)
}

// Guards against an empty 200 for a request that may have run, to a caller that shuts down its sending
// side and waits for the answer.
func TestCallerThatStopsSendingGetsNoEmptyAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			endpoint, reached := holdRequest()
			f := newFixture(t, endpoint)
			conn := sendOnConn(t, f, path, reached)
			assert.NilError(t, conn.CloseWrite())
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), "")
		})
	}
}

// Guards against a stream that is cut and looks complete to such a caller.
func TestCallerThatStopsSendingSeesThatItsStreamIsCut(t *testing.T) {
	endpoint, reached := holdRequest()
	f := newFixture(t, endpoint)
	conn := sendOnConn(t, f, "/stream/events", reached)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.NilError(t, conn.CloseWrite())
	_, err = io.Copy(io.Discard, response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
