package httpcall_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	reuseWorkers          = 4
	reuseCallsPerWorker   = 150
	unsolicitedResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nunsolicited"
	unsolicitedRepeats    = 100
	bodyAboveReadBuffer   = 64 << 10 // Bytes.
	maxReuseResponseBytes = 2 * bodyAboveReadBuffer
)

// respondAndGoOn sends a complete response and, behind it, bytes that belong to no
// request. It serves one request on each connection.
func respondAndGoOn(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, response+strings.Repeat(unsolicitedResponse, unsolicitedRepeats))
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Guards against bytes behind a complete response that net/http takes for the
// response to the next request on the connection, or that make that request fail.
func TestBytesAfterResponseHarmNoOtherRequest(t *testing.T) {
	for name, body := range map[string]string{
		"no body":     "",
		"short body":  "ok",
		"longer body": strings.Repeat("x", bodyAboveReadBuffer),
	} {
		t.Run(name, func(t *testing.T) {
			response := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
			server := httptest.NewServer(respondAndGoOn(response))
			defer server.Close()
			client := httpcall.New(httpcall.Config{BaseURL: server.URL})
			var workers sync.WaitGroup
			for range reuseWorkers {
				workers.Go(func() {
					for range reuseCallsPerWorker {
						got, err := client.Call(t.Context(), httpcall.Request{Method: http.MethodPost, Path: "/", Body: []byte("b"), NoReplay: true}, maxReuseResponseBytes)
						if !assert.Check(t, err) || !assert.Check(t, string(got.Body) == body, "another response of %d bytes", len(got.Body)) {
							return
						}
					}
				})
			}
			workers.Wait()
		})
	}
}
