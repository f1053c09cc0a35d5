package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
)

// testDialect uses headers of its own, so that the tests need no wire names.
type testDialect struct{}

func (testDialect) ReadCall(h http.Header) (Call, error) {
	call := Call{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last")}
	if left := h.Get("Left"); left != "" {
		ms, err := strconv.Atoi(left)
		if err != nil {
			return call, err
		}
		call.Left = time.Duration(ms) * time.Millisecond
	}
	return call, nil
}

func (testDialect) Forward(caller http.Header, d Dispatch) http.Header {
	h := caller.Clone()
	h.Set("Endpoint", d.Endpoint.ID)
	h.Set("Organisation", string(d.Organisation))
	if d.LastEvent != "" {
		h.Set("Last", d.LastEvent)
	}
	return h
}

func (testDialect) ReadAnswer(_ int, h http.Header) Answer {
	return Answer{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Encoded: h.Get("Content-Encoding") != ""}
}

// testHeaderBytes is the document's limit on headers in the tests.
const testHeaderBytes = 8 << 10

// fixture is a gateway in front of stand-in endpoints.
type fixture struct {
	gateway *Gateway
	url     string
	view    *directory.Directory
}

// newFixture serves the routes /once/, /again/ and /stream/ of h.example from
// the given endpoints.
func newFixture(t *testing.T, endpoints ...http.HandlerFunc) *fixture {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	d := directory.New(logger)
	g := New(Config{Name: "e", Region: "r", RetryRatio: 1, RetryBurst: 1000, VersionBound: 8 * time.Second, Seed: 1}, Deps{
		Directory: d, Dialect: testDialect{}, Transport: &http.Transport{DisableCompression: true}, Logger: logger, Scope: tally.NoopScope,
	})
	f := &fixture{gateway: g, view: d}
	document := &directory.Document{Version: 1, HasKeys: true, Services: map[string]*directory.Service{"s": {Name: "s"}}}
	document.Limits.HeaderBytes = testHeaderBytes
	document.Keys = map[string]*directory.Organisation{"k": {ID: "o"}}
	route := func(prefix string, kind directory.RouteKind) *directory.Route {
		return &directory.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Resumable: true, Timeout: time.Minute,
			Aim: time.Minute, GapAim: time.Minute, MaxRuns: 2, Backends: []directory.Backend{{Service: "s", Weight: 1}},
		}
	}
	document.SetRoutes([]*directory.Route{
		route("/once/", directory.RunOnce), route("/again/", directory.RunAgain), route("/stream/", directory.Stream),
	})
	d.SetDocument(document)
	for i, handler := range endpoints {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		d.PutEndpoint(&directory.Endpoint{
			ID: fmt.Sprint("i-", i), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Region: "r", Slots: 4,
		})
	}
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	f.url = front.URL
	return f
}

// reply is what a caller sees of an answer beside its body.
type reply struct {
	StatusCode int
	Header     http.Header
	Close      bool // The connection ends with the answer.
}

// call sends a request and returns the answer with its body.
func (f *fixture) call(t *testing.T, path string, change func(*http.Request)) (reply, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Id", "42")
	request.Header.Set("Key", "k")
	if change != nil {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{StatusCode: response.StatusCode, Header: response.Header, Close: response.Close}, string(body), err
}

// answer answers as the endpoint that ran the request.
func answer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, body)
	}
}

// reset cuts the connection after the request was read.
func reset(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRequestReachesTheEndpointUnchanged(t *testing.T) {
	var got string
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", string(body), " ", r.Header.Get("Organisation"), " ", r.Header.Get("Endpoint"))
		answer("whole")(w, r)
	})
	_, body, err := f.call(t, "/once/a%2Fb?x=1&y=%20", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
	assert.Equal(t, got, "POST /once/a%2Fb?x=1&y=%20 h.example body o i-0")
}

func TestRefusalsBeforeAnEndpoint(t *testing.T) {
	f := newFixture(t, answer("whole"))
	for name, c := range map[string]struct {
		path   string
		change func(*http.Request)
		status int
	}{
		"no route":    {"/none/", nil, 404},
		"no host":     {"/once/", func(r *http.Request) { r.Host = "x" }, 404},
		"no key":      {"/once/", func(r *http.Request) { r.Header.Del("Key") }, 401},
		"bad key":     {"/once/", func(r *http.Request) { r.Header.Set("Key", "x") }, 401},
		"bad left":    {"/once/", func(r *http.Request) { r.Header.Set("Left", "x") }, 400},
		"all fine":    {"/once/", nil, 200},
		"long header": {"/once/", func(r *http.Request) { r.Header.Set("X", strings.Repeat("x", testHeaderBytes)) }, 431},
		"long body":   {"/once/", func(r *http.Request) { r.ContentLength = maxUnknownBody + 1; r.Body = io.NopCloser(endless{}) }, 413},
	} {
		response, _, err := f.call(t, c.path, c.change)
		if name == "long body" && err != nil {
			continue // The connection may close while the body is sent.
		}
		assert.NilError(t, err, name)
		assert.Equal(t, response.StatusCode, c.status, name)
	}
}

func TestBodyThatDoesNotComeIsGivenUpAtTheDeadline(t *testing.T) {
	f := newFixture(t, answer("whole"))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nLeft: 50\r\nContent-Length: 4\r\n\r\nbod")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestWithoutADocumentNothingIsServedAndNothingReady(t *testing.T) {
	g := New(Config{}, Deps{Directory: directory.New(slog.New(slog.DiscardHandler)), Dialect: testDialect{}, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Assert(t, recorder.Header().Get("Retry-After") != "")
	assert.Assert(t, !g.Ready())
}

func TestPurchaseIsNeverSentAgainAfterItMayHaveRun(t *testing.T) {
	var runs atomic.Int64
	count := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		reset(w, r)
	}
	f := newFixture(t, count, count)
	response, _, err := f.call(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, runs.Load(), int64(1))
}

func TestPurchaseGoesOnAfterAnEndpointThatDidNotRunIt(t *testing.T) {
	f := newFixture(t, notRun, notRun, answer("bought"))
	for range 4 {
		response, body, err := f.call(t, "/once/", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "bought")
	}
}

func TestLookupIsRepeatedAfterALostAnswer(t *testing.T) {
	f := newFixture(t, reset, answer("balance"))
	for range 4 {
		_, body, err := f.call(t, "/again/", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, "balance")
	}
}

func TestAnswersThatAreNotTheEndpointsOwnNeverReachACaller(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"of another request": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Id", "7") },
		"encoded": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "br")
			answer("x")(w, r)
		},
		"cut": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			answer("short")(w, r)
		},
		"no answer in the protocol": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "noise\r\n\r\n")
			_ = conn.Close()
		},
	} {
		f := newFixture(t, bad)
		response, body, err := f.call(t, "/once/", nil)
		assert.NilError(t, err, name)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, name)
		assert.Equal(t, body, "", name)
	}
}

func TestEndpointsOwnFailureIsPassedOnUnchanged(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	})
	response, body, err := f.call(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, response.Header.Get("Seal"), "s")
	assert.Equal(t, body, "failed")
}

// stream sends events from the one after the caller's last to count, and cuts
// the connection in the middle of event cutAt; 0 stands for no cut.
func streamer(count, cutAt int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= count; i++ {
			if i == cutAt {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestBrokenStreamGoesOnElsewhereWithoutAGap(t *testing.T) {
	f := newFixture(t, streamer(5, 3), streamer(5, 0))
	for range 4 {
		response, body, err := f.call(t, "/stream/", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, events(5))
	}
}

func TestStreamThatCannotGoOnDoesNotLookComplete(t *testing.T) {
	f := newFixture(t, streamer(5, 3))
	_, body, err := f.call(t, "/stream/", nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, body, events(2))
}

func TestRunThatSkipsEventsIsNotJoined(t *testing.T) {
	skipping := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") == "" {
			streamer(5, 3)(w, r)
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 4\ndata: x\n\n")
	}
	f := newFixture(t, skipping, skipping)
	_, body, err := f.call(t, "/stream/", nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, body, events(2))
}

func TestCallersResumeKeepsItsPlace(t *testing.T) {
	f := newFixture(t, streamer(5, 0))
	_, body, err := f.call(t, "/stream/", func(r *http.Request) { r.Header.Set("Last", "3") })
	assert.NilError(t, err)
	assert.Equal(t, body, strings.TrimPrefix(events(5), events(3)))
}

func TestStreamMovesOffAClosingEndpoint(t *testing.T) {
	began := make(chan struct{})
	waits := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			streamer(4, 0)(w, r)
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, events(2))
		_ = http.NewResponseController(w).Flush()
		close(began)
		<-r.Context().Done()
	}
	f := newFixture(t, waits, waits)
	go func() {
		<-began
		for moved := 0; moved == 0; {
			for _, id := range []string{"i-0", "i-1"} {
				f.gateway.moves.setClosed(id, true)
				moved += f.gateway.moves.cancel(id, func(*request) bool { return true })
			}
		}
	}()
	_, body, err := f.call(t, "/stream/", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, events(4))
}

func TestSilenceEndsOnlyWhatCanGoOnElsewhere(t *testing.T) {
	f := newFixture(t)
	service := (*f.gateway.services.Load())["s"]
	resumable := &directory.Route{Kind: directory.Stream, Resumable: true, MaxRuns: 2}
	once := &directory.Route{Kind: directory.Stream, MaxRuns: 2}
	cause := func(req *request) error {
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		silent(cancel, (&stream{req: req}).movable(), service.budget)
		return context.Cause(ctx)
	}
	assert.Equal(t, cause(&request{route: resumable}), ErrSilent)
	assert.NilError(t, cause(&request{route: resumable, runs: 1}), "no run is left")
	assert.NilError(t, cause(&request{route: once}), "it may run once")
	spend(service.budget)
	assert.NilError(t, cause(&request{route: resumable}), "no repeat is left")
}

func TestCloseByTheCallerReachesTheEndpoint(t *testing.T) {
	closed := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, events(1))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/stream/", strings.NewReader("x"))
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Id", "42")
	request.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	_ = response.Body.Close()
	<-closed
}

func TestFullServiceIsRefusedWithTheTimeToComeBack(t *testing.T) {
	f := newFixture(t)
	response, _, err := f.call(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0)
}

func TestDrainingGatewayServesAndClosesConnections(t *testing.T) {
	f := newFixture(t, answer("whole"))
	assert.Assert(t, f.gateway.Ready())
	f.gateway.Drain()
	assert.Assert(t, !f.gateway.Ready())
	response, body, err := f.call(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
	assert.Assert(t, response.Close)
}

// Pattern: entries stop in turn, and the balancer sends callers to all of them
// while fewer than half of a failure domain are ready.
func TestStoppingGatewayTurnsLateCallersAwayUnread(t *testing.T) {
	f := newFixture(t, answer("whole"))
	f.gateway.Drain()
	f.gateway.Refuse()
	response, _, err := f.call(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, response.Close)
}

func TestRanksPutTheOrganisationFirst(t *testing.T) {
	assert.Assert(t, rank(0, 2) < rank(1, 0))
	assert.Assert(t, rank(1, 0) < rank(1, 1))
}

func TestOldVersionsMayBeginUntilTheBound(t *testing.T) {
	f := newFixture(t)
	now := time.Now()
	view := &directory.View{
		Document: &directory.Document{Services: map[string]*directory.Service{"lm": {Name: "lm", Model: "m", Engine: &directory.Engine{}}}},
		DeclaredVersions: map[string]directory.Declared{"m": {
			Version: 3, Since: now, Previous: 2, PreviousSince: now.Add(-4 * time.Second),
		}},
	}
	oldest := func(after time.Duration) uint64 {
		return f.gateway.oldestVersion(now.Add(after), view, "lm", time.Second)
	}
	assert.Equal(t, oldest(0), uint64(0))
	assert.Equal(t, oldest(3*time.Second), uint64(2))
	assert.Equal(t, oldest(7*time.Second), uint64(3))
}
