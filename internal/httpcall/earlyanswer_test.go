package httpcall_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// resetTries is the number of calls in which a reset meets a write or a read first by chance.
const resetTries = 150

// Guards against the same where the order of the two sides is the kernel's.
func TestAnswerCutByAResetAtAnyMoment(t *testing.T) {
	server, err := fakes.StartEarlyServer(fakes.EarlyReset, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" })
	assert.NilError(t, err)
	defer server.Close()
	client := httpcall.New(httpcall.Config{BaseURL: "http://" + server.Address()})
	for range resetTries {
		_, err := client.Do(t.Context(), httpcall.Request{Method: http.MethodPut, Path: "/", Body: make([]byte, 1<<20), NoReplay: true}, 1<<10)
		var failure *httpcall.TransportError
		assert.Check(t, errors.As(err, &failure), "got %v", err)
	}
}

// Guards against the beginning of an answer without a length that passes for all of it, since the
// end of its connection was read while the request was still being written; and against the loss of
// an early answer that is complete.
func TestEarlyAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		end      fakes.EarlyEnd
		head     string
		complete bool
	}{
		"no length, reset":        {fakes.EarlyReset, "HTTP/1.1 200 OK\r\n\r\n", false},
		"no length, end in order": {fakes.EarlyFinished, "HTTP/1.1 200 OK\r\n\r\n", false},
		"length":                  {fakes.EarlyOpen, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true},
		"length, end in order":    {fakes.EarlyFinished, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true},
	} {
		for replayName, noReplay := range map[string]bool{"once": true, "replayed": false} {
			t.Run(name+"/"+replayName, func(t *testing.T) {
				t.Parallel()
				server, err := fakes.StartEarlyServer(test.end, func(*http.Request) string { return test.head + "part" })
				assert.NilError(t, err)
				defer server.Close()
				transport := httpcall.NewTransport()
				transport.DialContext = connguard.Wrap(server.Dial)
				client := httpcall.New(httpcall.Config{BaseURL: "http://" + server.Address(), Client: &http.Client{Transport: transport}})
				response, err := client.Do(t.Context(), httpcall.Request{Method: http.MethodPut, Path: "/", Body: make([]byte, 1<<20), NoReplay: noReplay}, 1<<10)
				if test.complete {
					assert.NilError(t, err)
					assert.Equal(t, string(response.Body), "part")
					return
				}
				var failure *httpcall.TransportError
				assert.Assert(t, errors.As(err, &failure), "got %v", err)
				assert.Assert(t, failure.MaybeSent)
			})
		}
	}
}
