package gateway

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// holdRequest returns an endpoint that runs a request and does not answer, and the signal that
// one has reached it. A stream sends one event first.
func holdRequest() (handler http.HandlerFunc, reached chan struct{}) {
	reached = make(chan struct{}, 16)
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/stream/events") {
			writeNextEvent(w, r)
		}
		reached <- struct{}{}
		<-r.Context().Done()
	}, reached
}

// answer is what a caller saw of a request.
type answer struct {
	response callerResponse
	err      error
}

// Guards against requests that are cut without an answer at the end of a planned stop, among
// them some that may not be repeated.
func TestRequestsInProgressAreAnsweredBeforeTheEntryEnds(t *testing.T) {
	for path, wantStatus := range map[string]int{"/once/": http.StatusBadGateway, "/again/": http.StatusBadGateway, "/stream/": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			endpoint, reached := holdRequest()
			f := newFixture(t, endpoint)
			answers := make(chan answer, 1)
			go func() {
				response, _, err := f.send(t, path, nil)
				answers <- answer{response, err}
			}()
			<-reached
			f.gateway.Drain(time.Now())
			f.gateway.EndRequests()
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, got.response.StatusCode, wantStatus, "the request may have run")
			assert.Assert(t, got.response.Close, "it is the last answer on its connection")
		})
	}
}

// Guards against a stream that ends as if it were complete when its entry stops.
func TestStreamInProgressIsBrokenOffBeforeTheEntryEnds(t *testing.T) {
	endpoint, _ := holdRequest()
	f := newFixture(t, endpoint)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/stream/events", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Id", "42")
	request.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body := bufio.NewReader(response.Body)
	_, err = body.ReadString('\n')
	assert.NilError(t, err)
	f.gateway.Drain(time.Now())
	f.gateway.EndRequests()
	_, err = io.Copy(io.Discard, body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against requests that are passed on although they cannot end before their entry does.
func TestRequestThatCannotEndInTimeIsRefused(t *testing.T) {
	endpoint, reached := holdRequest()
	f := newFixture(t, endpoint)
	f.gateway.Drain(time.Now().Add(initialFirstResponse / 2))
	response, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(reached), 0)
}

// Guards against requests that wait for a slot and are cut, though they have not run.
func TestQueuedRequestIsRefusedBeforeTheEntryEnds(t *testing.T) {
	endpoint, reached := holdRequest()
	f := newFixture(t, endpoint)
	// An endpoint without an agent gets the requests of its slots and of a part of its queue.
	const sent, atEndpoint = 12, 10
	answers := make(chan answer, sent)
	send := func() {
		response, _, err := f.send(t, "/once/", nil)
		answers <- answer{response, err}
	}
	for range sent {
		go send()
	}
	for range atEndpoint {
		<-reached
	}
	for f.gateway.Active() < sent {
		time.Sleep(time.Millisecond)
	}
	f.gateway.EndRequests()
	statuses := make(map[int]int)
	for range sent {
		got := <-answers
		assert.NilError(t, got.err)
		statuses[got.response.StatusCode]++
	}
	assert.DeepEqual(t, statuses, map[int]int{http.StatusBadGateway: atEndpoint, http.StatusServiceUnavailable: sent - atEndpoint})
}

// Guards against a server that cuts its connections at the end of the grace. The grace is shorter
// than the reaction time of the balancer.
func TestServerAnswersAllRequestsWithinTheGrace(t *testing.T) {
	endpoint, reached := holdRequest()
	f := newFixture(t, endpoint)
	server := &Server{
		Gateway: f.gateway, CallerAddr: freeAddr(t), ReadyAddr: freeAddr(t), StopGrace: 600 * time.Millisecond, Logger: slog.New(slog.DiscardHandler),
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	conn := dialWhenListening(t, server.CallerAddr)
	defer conn.Close()
	_, err := io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nId: 42\r\nContent-Length: 4\r\n\r\nbody")
	assert.NilError(t, err)
	<-reached
	stop()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.NilError(t, <-ended)
}

// freeAddr returns a TCP address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func dialWhenListening(t *testing.T, addr string) net.Conn {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			return conn
		}
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}
