package fakes_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/fakes"
)

func TestEndlessServerSendsUntilItsPeerCloses(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": time.Millisecond} {
		server, err := fakes.StartEndlessServer(fakes.EndlessAnswer{
			Opening: func(r *http.Request) string { return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\n\r\n" },
			Piece:   fakes.Repeat("ab"),
			Pause:   pause,
		})
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		conn, err := net.Dial("tcp", server.Address())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 2\r\n\r\nhi")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		defer response.Body.Close()
		assert.Equal(t, response.Header.Get("Id"), "7", name)
		body := make([]byte, 9)
		_, err = io.ReadFull(response.Body, body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ababababa", name)
		assert.NilError(t, conn.Close())
		ended := <-server.Ended()
		assert.Equal(t, ended.Requests, 1, name)
		assert.Assert(t, ended.PeerClosed, name)
		assert.Assert(t, ended.Sent > int64(len(body)), name)
		assert.Equal(t, server.Requests()[0].URL.Path, "/x", name)
	}
}

func TestEndlessServerIsBounded(t *testing.T) {
	server, err := fakes.StartEndlessServer(fakes.EndlessAnswer{Piece: fakes.Repeat("noise")})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Address())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, conn) // The server closes in the end.
	assert.Assert(t, !(<-server.Ended()).PeerClosed)
}
