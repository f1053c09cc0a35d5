package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newServer serves handler with the limits of config and returns the listener.
func newServer(t *testing.T, config Config, handler http.HandlerFunc) *Listener {
	t.Helper()
	var listenConfig net.ListenConfig
	inner, err := listenConfig.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(inner, config)
	server := &http.Server{Handler: handler, ConnState: l.ConnState, ConnContext: l.ConnContext}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

// serveRequest reads a request as the handlers of the entries do, and answers 200, or 503 if it may
// not be served.
func serveRequest(w http.ResponseWriter, r *http.Request) {
	conn := FromContext(r.Context())
	err := conn.BeginRequest(r.Header)
	if err == nil {
		_, err = conn.ReadBody(r.Body, r.ContentLength)
	}
	if err == nil {
		err = conn.PassOn()
	}
	if errors.Is(err, ErrMemory) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dial(t *testing.T, l *Listener) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	_, _ = io.WriteString(c.Conn, text)
}

// status returns the status of the next response, 0 if the connection ends before.
func (c *caller) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode
}

// awaitCounted waits until the budget counts at least n bytes, or none if n is 0.
func (l *Listener) awaitCounted(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		total := l.total
		l.mu.Unlock()
		if total >= n && (n > 0 || total == 0) {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are counted", total)
	}
}

const requestStart = "POST / HTTP/1.1\r\nHost: h\r\n"

// manyLines is a part of a header section whose charge is above 100,000 bytes.
var manyLines = strings.Repeat("a:\n", 1000)

// Guards against heads that are held without end: the one that holds most for longest is refused, and
// another one is read to its end.
func TestHeaviestHeadIsRefused(t *testing.T) {
	l := newServer(t, Config{Memory: 200_000}, serveRequest)
	heavy := dial(t, l)
	heavy.send(requestStart + manyLines)
	l.awaitCounted(t, 100_000)
	other := dial(t, l)
	other.send(requestStart + manyLines + "\r\n")
	assert.Equal(t, other.status(), http.StatusOK)
	assert.Equal(t, heavy.status(), http.StatusServiceUnavailable)
	assert.Equal(t, heavy.status(), 0, "two responses")
}

// Guards against bodies that are held without end, and against a refusal that is not the handler's.
func TestHeaviestBodyIsRefused(t *testing.T) {
	l := newServer(t, Config{Memory: 400_000}, serveRequest)
	heavy := dial(t, l)
	heavy.send(requestStart + "Content-Length: 200001\r\n\r\n" + strings.Repeat("x", 200_000))
	l.awaitCounted(t, 190_000)
	other := dial(t, l)
	other.send(requestStart + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000))
	assert.Equal(t, other.status(), http.StatusOK)
	assert.Equal(t, heavy.status(), http.StatusServiceUnavailable)
	assert.Equal(t, heavy.status(), 0, "two responses")
}

// Guards against requests that were passed on and lose their answer: the new one is refused.
func TestPassedOnRequestLosesNothing(t *testing.T) {
	running, end := make(chan bool, 1), make(chan bool)
	l := newServer(t, Config{Memory: 200_000}, func(w http.ResponseWriter, r *http.Request) {
		serveRequest(w, r)
		if r.URL.Path == "/long" {
			running <- true
			<-end
		}
	})
	first := dial(t, l)
	first.send("GET /long HTTP/1.1\r\nHost: h\r\n" + manyLines + "\r\n")
	<-running
	second := dial(t, l)
	second.send(requestStart + manyLines + "\r\n")
	assert.Equal(t, second.status(), http.StatusServiceUnavailable)
	ordinary := dial(t, l)
	ordinary.send(requestStart + "\r\n")
	assert.Equal(t, ordinary.status(), http.StatusOK, "an ordinary request needs no room")
	close(end)
	assert.Equal(t, first.status(), http.StatusOK)
	l.awaitCounted(t, 0)
	third := dial(t, l)
	third.send(requestStart + manyLines + "\r\n")
	assert.Equal(t, third.status(), http.StatusOK, "the charge was released")
}

// Guards against a refusal that is lost by a reset while the caller still sends.
func TestHeadOverTheLimitIsRefusedToACallerThatStillSends(t *testing.T) {
	l := newServer(t, Config{MaxHeadBytes: func() int { return 16 << 10 }}, serveRequest)
	c := dial(t, l)
	c.send(requestStart + strings.Repeat("a:\n", 16<<10))
	assert.Equal(t, c.status(), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, c.status(), 0)
}

// Guards against a refusal of a legal head that arrives with the request before it.
func TestPipelinedHeadsAreServed(t *testing.T) {
	l := newServer(t, Config{MaxHeadBytes: func() int { return 4 << 10 }}, serveRequest)
	c := dial(t, l)
	const requests = 100
	go c.send(strings.Repeat(requestStart+strings.Repeat("a:\n", 1300)+"\r\n", requests))
	for i := range requests {
		assert.Equal(t, c.status(), http.StatusOK, fmt.Sprint(i))
	}
}

// Guards against idle connections that keep new ones out, and against refused ones that keep running
// requests from their answer.
func TestIdleConnectionGivesWayToANewOne(t *testing.T) {
	running, end := make(chan bool, 1), make(chan bool)
	l := newServer(t, Config{MaxConns: 2}, func(w http.ResponseWriter, r *http.Request) {
		serveRequest(w, r)
		if r.URL.Path == "/long" {
			running <- true
			<-end
		}
	})
	long := dial(t, l)
	long.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	idle := dial(t, l)
	time.Sleep(2 * minWait)
	other := dial(t, l)
	other.send(requestStart + "\r\n")
	assert.Equal(t, other.status(), http.StatusOK)
	assert.Equal(t, idle.status(), 0, "an idle connection gets no response")
	close(end)
	assert.Equal(t, long.status(), http.StatusOK)
}
