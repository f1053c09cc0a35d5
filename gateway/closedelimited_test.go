package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// closeDelimited returns an endpoint whose responses have neither a length nor chunks and
// end with the connection. body gets the number of the first event to send. reset says that
// the connection is reset at the end, so that the response is not complete.
func closeDelimited(body func(firstEvent int) string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, _ := w.(http.Hijacker).Hijack()
		defer conn.Close()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), body(last+1))
		_ = buffered.Flush()
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// eventsUpTo returns the events from the first to the last one, and the beginning of one
// more if partial is set.
func eventsUpTo(last int, partial bool) func(int) string {
	return func(first int) string {
		text := eventStream(last)[len(eventStream(first-1)):]
		if partial {
			text += fmt.Sprintf("id: %d\nda", last+1)
		}
		return text
	}
}

func TestAnswerThatEndsWithItsConnectionIsForwarded(t *testing.T) {
	f := newFixture(t, closeDelimited(eventsUpTo(3, false), false))
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		response, body, err := f.send(t, path, nil)
		assert.NilError(t, err, path)
		assert.Equal(t, response.StatusCode, http.StatusOK, path)
		assert.Equal(t, body, eventStream(3), path)
	}
}

// Guards against a stream without length or chunks that passes for complete although it
// ended inside an event.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	broken := closeDelimited(eventsUpTo(2, true), false)
	f := newFixture(t, broken)
	_, body, err := f.send(t, "/stream/", nil)
	assert.Assert(t, err != nil, "it looks complete")
	assert.Equal(t, body, eventStream(2), "a caller gets whole events only")

	f = newFixture(t, broken, closeDelimited(eventsUpTo(5, false), false))
	for range 4 {
		_, body, err = f.send(t, "/stream/", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, eventStream(5))
	}
}

// Guards against an answer without a length that passes for complete although its connection
// was reset.
func TestResetAnswerWithoutLengthIsNotComplete(t *testing.T) {
	reset := closeDelimited(eventsUpTo(2, false), true)
	response, _, err := newFixture(t, reset).send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	response, _, err = newFixture(t, reset).send(t, "/stream/", nil)
	assert.Assert(t, err != nil || response.StatusCode == http.StatusBadGateway)
}
