package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawEndpoint is an endpoint that writes its responses byte by byte and keeps its connections
// open. It counts the requests that it ran.
type rawEndpoint struct {
	address string
	respond rawResponder
	runs    atomic.Int64
}

// rawResponder writes the response to a request. requestNumber counts the requests on the
// connection from 1.
type rawResponder func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int)

func startRawEndpoint(t *testing.T, respond rawResponder) *rawEndpoint {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &rawEndpoint{address: listener.Addr().String(), respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *rawEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.respond(e, conn, r, number)
	}
}

// runEvent is the body of the responses of a rawEndpoint, a stream of one event.
const runEvent = "id: 1\ndata: run\n\n"

// run runs a request and returns the response.
func (e *rawEndpoint) run(r *http.Request) string {
	e.runs.Add(1)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(runEvent), runEvent)
}

// refusalText returns a response that says that the request with the ID was not run. An empty
// ID is left out.
func refusalText(id string, status int, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nNot-Run: 1\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return head + "\r\n" + body
}

// refusedID is the ID of the request that the refusals in these tests belong to.
const refusedID = "6"

// foreignRefusals returns refusals of an earlier request, as a faulty endpoint writes them
// where the response to the next request is expected.
func foreignRefusals() map[string]string {
	refusal := refusalText(refusedID, http.StatusServiceUnavailable, "")
	return map[string]string{
		"503":                       refusal,
		"503 with body":             refusalText(refusedID, http.StatusServiceUnavailable, "full"),
		"503 without ID":            refusalText("", http.StatusServiceUnavailable, ""),
		"429":                       refusalText(refusedID, http.StatusTooManyRequests, "slow"),
		"421":                       refusalText(refusedID, http.StatusMisdirectedRequest, ""),
		"421 without ID":            refusalText("", http.StatusMisdirectedRequest, ""),
		"after an interim response": "HTTP/1.1 103 Early Hints\r\nId: x\r\n\r\n" + refusal,
		"twice":                     refusal + refusal,
	}
}

// newRawFixture returns a fixture in front of raw endpoints. Requests may be sent to maxRuns
// of them, and are refused soon if there is no other endpoint.
func newRawFixture(t *testing.T, maxRuns int, endpoints ...*rawEndpoint) *fixture {
	t.Helper()
	f := newFixture(t)
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		route := f.directory.View().Document.Match("h.example", path)
		route.MaxRuns = maxRuns
		route.LatencyTarget = time.Millisecond
	}
	for _, e := range endpoints {
		f.addEndpoint(e.address)
	}
	return f
}

// answerAfter returns a responder that writes a text before the response to the request.
func answerAfter(text string) rawResponder {
	return func(e *rawEndpoint, w io.Writer, r *http.Request, _ int) {
		_, _ = io.WriteString(w, text+e.run(r))
	}
}

// sendAs sends a request with an ID.
func (f *fixture) sendAs(t *testing.T, id, path string) (callerResponse, string, error) {
	t.Helper()
	return f.send(t, path, func(r *http.Request) { r.Header.Set("Id", id) })
}

// Guards against "not run" for a request that an endpoint runs: a faulty endpoint writes an
// earlier refusal once more on a kept connection.
func TestRepeatedRefusalIsNoRefusalOfTheNextRequest(t *testing.T) {
	for name, refusal := range foreignRefusals() {
		for _, path := range []string{"/once/", "/again/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newRawFixture(t, 1, startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
					text := e.run(r)
					if requestNumber == 2 {
						text = refusal + text
					}
					_, _ = io.WriteString(w, text)
				}))
				for _, step := range []struct {
					id     string
					status int
				}{
					{"41", http.StatusOK},
					{"42", http.StatusBadGateway},
					{"43", http.StatusOK}, // On another connection.
				} {
					response, _, err := f.sendAs(t, step.id, path)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, step.status, step.id)
				}
			})
		}
	}
}

// Guards against a request that must run once and runs at several endpoints, each of which
// wrote an earlier refusal once more.
func TestRepeatedRefusalSendsNoRequestToASecondEndpoint(t *testing.T) {
	for name, refusal := range foreignRefusals() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := []*rawEndpoint{
				startRawEndpoint(t, answerAfter(refusal)), startRawEndpoint(t, answerAfter(refusal)), startRawEndpoint(t, answerAfter(refusal)),
			}
			f := newRawFixture(t, 2, endpoints...)
			response, _, err := f.sendAs(t, "42", "/once/")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			runs := int64(0)
			for _, e := range endpoints {
				runs += e.runs.Load()
			}
			assert.Equal(t, runs, int64(1))
		})
	}
}

// Guards against a lost response: what may run again is sent to another endpoint.
func TestRepeatableRequestIsRetriedAfterARepeatedRefusal(t *testing.T) {
	for name, refusal := range foreignRefusals() {
		for _, path := range []string{"/again/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newRawFixture(t, 2, startRawEndpoint(t, answerAfter(refusal)), startRawEndpoint(t, answerAfter("")))
				for range 4 {
					response, body, err := f.sendAs(t, "42", path)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Equal(t, body, runEvent)
				}
			})
		}
	}
}

// Guards against a response that is taken for that of a later request: net/http has put the
// connection that carried a foreign refusal without a body back before the request's own
// response arrives.
func TestConnectionOfARepeatedRefusalCarriesNoOtherRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		late := ""
		f := newRawFixture(t, 1, startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, requestNumber int) {
			switch {
			case late == "":
				late = e.run(r)
				_, _ = io.WriteString(w, refusalText(refusedID, http.StatusServiceUnavailable, ""))
			case requestNumber == 1:
				_, _ = io.WriteString(w, e.run(r))
			default:
				_, _ = io.WriteString(w, late)
			}
		}))
		for i, status := range []int{http.StatusBadGateway, http.StatusOK} {
			response, _, err := f.sendAs(t, strconv.Itoa(42+i), path)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, status)
		}
	}
}

// Guards against a lost response: a refusal that follows a complete response is noticed before
// the next request is written.
func TestRefusalBehindAResponseHarmsNoRequest(t *testing.T) {
	const requests = 100
	for name, refusal := range foreignRefusals() {
		for _, path := range []string{"/once/", "/again/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				endpoint := startRawEndpoint(t, func(e *rawEndpoint, w io.Writer, r *http.Request, _ int) {
					_, _ = io.WriteString(w, e.run(r)+refusal)
				})
				f := newRawFixture(t, 1, endpoint)
				for i := range requests {
					response, body, err := f.sendAs(t, strconv.Itoa(i), path)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Equal(t, body, runEvent)
				}
				assert.Equal(t, endpoint.runs.Load(), int64(requests))
			})
		}
	}
}
