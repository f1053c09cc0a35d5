package endpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
)

// startCutServer starts a server that writes a text and closes the connection.
func startCutServer(t *testing.T, text string) endpoint.HTTPConfig {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return endpoint.HTTPConfig{BaseURL: "http://" + listener.Addr().String()}
}

// Guards against an answer, or a refusal, whose head or body was cut and that counts as whole.
func TestResponseCutAtAnyByteLeavesTheOutcomeUnknown(t *testing.T) {
	const head = "HTTP/1.1 %d X\r\n" + endpoint.AttemptHeader + ": a\r\n" + endpoint.RunHeader + ": " + endpoint.RunNotRun + "\r\n"
	body := tokenEvent + "\n\n" + doneEvent + "\n\n"
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		for name, end := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		} {
			text := fmt.Sprintf(head, status) + end
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				t.Parallel()
				for length := range len(text) {
					config := startCutServer(t, text[:length])
					_, err := endpoint.NewHTTPPlainService(config).Call(t.Context(), endpoint.PlainRequest{Attempt: "a", Operation: "o"})
					assert.Assert(t, isError[*endpoint.BrokenError](err), "call, cut after %d of %d bytes: %v", length, len(text), err)
				}
			})
		}
	}
}

// Guards against a stream that counts as whole although its head, or the event that ends it, was
// cut. What follows that event is no part of the answer.
func TestStreamCutBeforeItsLastEventBreaks(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + endpoint.AttemptHeader + ": a\r\n\r\n"
	text := head + tokenEvent + "\n\n" + doneEvent
	for length := range len(text) {
		config := startCutServer(t, text[:length])
		stream, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a", MaxTokens: 2})
		if err == nil {
			_, err = readTokens(stream)
		}
		assert.Assert(t, isError[*endpoint.BrokenError](err), "cut after %d of %d bytes: %v", length, len(text), err)
	}
}
