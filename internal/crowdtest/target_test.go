//go:build crowd && linux

package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	startTimeout = 30 * time.Second
	// ordinaryTimeout bounds how long the ordinary request may take, tries included. The tests
	// check that it is served, not how fast.
	ordinaryTimeout = 20 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// target is an entry under test.
type target struct {
	process *process
	address string
	host    string
	path    string
	// header holds the lines that an ordinary request needs.
	header string
	// needsKey says that each request needs an Idempotency-Key of its own.
	needsKey bool

	requests atomic.Int64
}

// eventually waits until a condition holds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("never reached: %s", description)
		}
	}
}

func (e *target) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, "the entry serves", func() bool { return e.ordinary() == nil })
}

// requestLines returns the request line and the header lines of a request to a path, without the
// empty line.
func (e *target) requestLines(path string, bodyBytes int) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s", path, e.host, e.header)
	if e.needsKey {
		head += fmt.Sprintf("Idempotency-Key: key-%d\r\n", e.requests.Add(1))
	}
	if bodyBytes > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	return head
}

// ordinary sends one ordinary request on a new connection. It returns nil if that is served.
func (e *target) ordinary() error {
	const body = `{"n":1}`
	return e.serves(e.requestLines(e.path, len(body)) + "\r\n" + body)
}

// serves sends a request on a new connection. It returns nil if the answer has status 200.
func (e *target) serves(request string) error {
	conn, err := net.DialTimeout("tcp", e.address, ordinaryTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %.200s", response.StatusCode, answer)
	}
	return err
}

// assertServesOrdinary checks that an ordinary request is served within ordinaryTimeout: an
// ordinary caller repeats one that was refused or lost its connection.
func (e *target) assertServesOrdinary(t *testing.T) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(ordinaryTimeout); time.Now().Before(deadline); time.Sleep(4 * pollInterval) {
		if err = e.ordinary(); err == nil {
			return
		}
	}
	assert.NilError(t, err, "no ordinary request is served")
}
