package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// cutAfter returns a responder that runs the request, writes the text and closes the
// connection. ID in the text stands for that of the request.
func cutAfter(text string) rawResponder {
	return func(e *rawEndpoint, w io.Writer, r *http.Request, _ int) {
		e.runs.Add(1)
		_, _ = io.WriteString(w, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		_ = w.(io.Closer).Close()
	}
}

// completeResponses returns complete responses that differ in how their end is known, each
// as its head and what follows.
func completeResponses() map[string][2]string {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	return map[string][2]string{
		"length":                    {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(runEvent)), runEvent},
		"chunks":                    {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(runEvent), runEvent)},
		"chunks and a trailer":      {head + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nX: y\r\n\r\n", len(runEvent), runEvent)},
		"after interim responses":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(runEvent)), runEvent},
		"end of the connection":     {head + "\r\n", ""},
		"HTTP/1.0":                  {strings.Replace(head, "1.1", "1.0", 1) + "\r\n", ""},
		"empty body with a length":  {head + "Content-Length: 0\r\n\r\n", ""},
		"line feeds without return": {strings.ReplaceAll(head, "\r\n", "\n") + "\n", ""},
	}
}

// Guards against a response whose head, or the rest of it, was cut and that reaches the caller
// as a short success. What ends with its connection is left uncut behind its head: nothing
// tells there that bytes are missing.
func TestResponseCutAtAnyByteIsNoSuccess(t *testing.T) {
	for name, response := range completeResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := response[0] + response[1]
			for length := range len(whole) {
				for _, path := range []string{"/once/", "/again/", "/stream/"} {
					f := newRawFixture(t, 1, startRawEndpoint(t, cutAfter(whole[:length])))
					answer, body, err := f.send(t, path, nil)
					if err != nil {
						continue // The caller sees that it was cut.
					}
					assert.Equal(t, answer.StatusCode, http.StatusBadGateway, "%s: cut after %q got %q", path, whole[:length], body)
				}
			}
		})
	}
}

// Guards against an error of the second endpoint in the middle of a stream, or as its end.
func TestErrorOfTheSecondEndpointIsNoPartOfTheStream(t *testing.T) {
	const errorText = "the replica failed\n\n"
	head := func(status int, lines string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nId: ID\r\n%s", status, http.StatusText(status), lines)
	}
	sized := func(status int, body string) string {
		return head(status, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
	}
	for name, second := range map[string]string{
		"500":                        sized(500, errorText),
		"503":                        sized(503, errorText),
		"503 not run":                refusalText("ID", 503, errorText),
		"503 of another request":     refusalText(refusedID, 503, errorText),
		"400":                        sized(400, errorText),
		"404 without length":         head(404, "\r\n"+errorText),
		"204":                        head(204, "\r\n"),
		"206":                        sized(206, "id: 3\ndata: x\n\n"),
		"301":                        sized(301, errorText),
		"text":                       sized(200, errorText),
		"text without an end":        sized(200, "the replica failed"),
		"JSON":                       sized(200, `{"error":"failed"}`),
		"head of an error as a body": sized(200, sized(500, errorText)),
		"event without an ID":        sized(200, "data: failed\n\n"),
		"error event":                sized(200, "event: error\ndata: failed\n\n"),
		"the same events again":      sized(200, eventStream(5)),
		"fewer events than before":   sized(200, eventStream(1)),
		"a later event":              sized(200, "id: 4\ndata: x\n\n"),
		"next event, then an error":  sized(200, "id: 3\ndata: x\n\n"+errorText),
		"next event, then cut":       head(200, "Content-Length: 100\r\n\r\nid: 3\ndata: x\n\n"),
		"chunks without the last":    head(200, "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 3\ndata: x\n\n\r\n"),
		"no event":                   sized(200, ""),
		"no event, chunked":          head(200, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		"no event, no length":        head(200, "\r\n"),
		"comments only":              sized(200, ": failed\n\n"),
		"cut head":                   "HTTP/1.1 500 Internal Server Error\r\nId: I",
		"no response":                "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startRawEndpoint(t, cutAfter(head(200, "Content-Length: 100\r\n\r\n"+eventStream(2)+"id: 3\nda")))
			f := newRawFixture(t, 2, first)
			second := startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, _ int) {
				assert.Check(t, r.Header.Get("Last") == "2")
				cutAfter(second)(e, w, r, 0)
			})
			f.addWhenReached(first, second)
			_, body, err := f.send(t, "/stream/", nil)
			assert.Assert(t, err != nil, "the stream looks complete: %q", body)
			assert.Assert(t, strings.HasPrefix(eventStream(3), body), "got %q", body)
			assert.Equal(t, first.runs.Load(), int64(1))
			assert.Equal(t, second.runs.Load(), int64(1))
		})
	}
}

// addWhenReached adds the second endpoint when the first one gets a request, so that the order
// of the two is certain.
func (f *fixture) addWhenReached(first, second *rawEndpoint) {
	respond := first.respond
	first.respond = func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
		f.addEndpoint(second.address)
		respond(e, w, r, requestNumber)
	}
}
