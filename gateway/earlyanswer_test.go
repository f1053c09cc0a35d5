package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/fakes"
)

// uploadBytes is the size of a request body that takes several writes.
const uploadBytes = 1 << 20

func withUpload(r *http.Request) {
	r.ContentLength = uploadBytes
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("u", uploadBytes)))
}

// earlyHead returns a head with the ID of the request, and what follows.
func earlyHead(status int, rest string) func(*http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nId: %s\r\n%s", status, http.StatusText(status), r.Header.Get("Id"), rest)
	}
}

func newEarlyFixture(t *testing.T, end fakes.EarlyEnd, answer func(*http.Request) string) *fixture {
	t.Helper()
	server, err := fakes.StartEarlyServer(end, answer)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	f := newFixtureOver(t, connguard.Wrap(server.Dial))
	f.addEndpoint(server.Address())
	return f
}

// Guards against the beginning of an answer without a length that passes for all of it, since the
// end of its connection was read while the request was still being written.
func TestAnswerWithoutLengthDuringTheUploadIsNotComplete(t *testing.T) {
	for name, end := range map[string]fakes.EarlyEnd{"reset": fakes.EarlyReset, "end in order": fakes.EarlyFinished} {
		for _, path := range []string{"/once/", "/again/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newEarlyFixture(t, end, earlyHead(200, "\r\n"+eventStream(2)))
				f.directory.View().Document.Match("h.example", path).MaxRuns = 1
				response, body, err := f.send(t, path, withUpload)
				assert.Assert(t, err != nil || response.StatusCode == http.StatusBadGateway, "got %d %q", response.StatusCode, body)
			})
		}
	}
}

// Guards against a repeatable request that ends with the endpoint that broke off, and against
// another one that runs twice.
func TestRequestWhoseUploadWasCutIsRepeatedWhereItMayBe(t *testing.T) {
	for path, status := range map[string]int{"/once/": http.StatusBadGateway, "/again/": http.StatusOK, "/stream/": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			second := startRawEndpoint(t, answerAfter(""))
			var f *fixture
			f = newEarlyFixture(t, fakes.EarlyReset, func(r *http.Request) string {
				f.addEndpoint(second.address)
				return earlyHead(200, "\r\nid: ")(r)
			})
			response, body, err := f.send(t, path, withUpload)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, status)
			assert.Equal(t, second.runs.Load() == 1, status == http.StatusOK)
			assert.Assert(t, status != http.StatusOK || body == runEvent, "got %q", body)
		})
	}
}

// Guards against the loss of an early answer whose end its length or chunks tell.
func TestEarlyAnswerWithAnEndOfItsOwnIsForwarded(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nlarge",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n0\r\n\r\n",
	} {
		for endName, end := range map[string]fakes.EarlyEnd{"open": fakes.EarlyOpen, "end in order": fakes.EarlyFinished} {
			for _, path := range []string{"/once/", "/again/", "/stream/"} {
				t.Run(name+"/"+endName+path, func(t *testing.T) {
					t.Parallel()
					f := newEarlyFixture(t, end, earlyHead(http.StatusRequestEntityTooLarge, rest))
					response, body, err := f.send(t, path, withUpload)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
					assert.Equal(t, body, "large")
				})
			}
		}
	}
}
