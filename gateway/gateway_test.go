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
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/routing/admission"
)

// testHeaderCodec uses its own header names, so that the tests need none of the
// platform's.
type testHeaderCodec struct{}

func (testHeaderCodec) ReadRequest(h http.Header) (RequestMetadata, error) {
	metadata := RequestMetadata{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last")}
	if parts := h.Get("Parts"); parts != "" {
		metadata.SharedParts = strings.Split(parts, ",")
	}
	if left := h.Get("Left"); left != "" {
		ms, err := strconv.Atoi(left)
		if err != nil {
			return metadata, err
		}
		metadata.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	return metadata, nil
}

func (testHeaderCodec) Forward(caller http.Header, metadata ForwardMetadata) http.Header {
	h := caller.Clone()
	h.Set("Endpoint", metadata.Endpoint.ID)
	h.Set("Organisation", string(metadata.Organisation))
	if metadata.LastEventID != "" {
		h.Set("Last", metadata.LastEventID)
	}
	return h
}

func (testHeaderCodec) ReadResponse(_ int, h http.Header) ResponseMetadata {
	metadata := ResponseMetadata{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Encoded: h.Get("Content-Encoding") != ""}
	if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		metadata.RateLimit = AnnouncedRateLimit{Limited: true, PerSecond: perSecond}
	}
	metadata.Rest, _ = time.ParseDuration(h.Get("Rest"))
	metadata.Leaving = h.Get("Leaves") != ""
	if slowdown, err := strconv.ParseFloat(h.Get("Slow"), 64); err == nil {
		metadata.Slowdown = slowdown
	} else if h.Get("Slow") != "" {
		metadata.SlowdownError = SlowdownMalformed
	}
	return metadata
}

// testHeaderBytes is the limit on request and response headers in the tests.
const testHeaderBytes = 8 << 10

// fixture is a gateway in front of fake endpoints.
type fixture struct {
	gateway   *Gateway
	url       string
	directory *directory.Directory
}

// newFixture serves the routes /once/, /again/ and /stream/ of h.example from
// the given endpoints.
func newFixture(t *testing.T, endpoints ...http.HandlerFunc) *fixture {
	t.Helper()
	return newFixtureOver(t, connguard.Wrap(new(net.Dialer).DialContext), endpoints...)
}

// newFixtureOver is newFixture with connections to endpoints that dial opens.
func newFixtureOver(t *testing.T, dial connguard.DialFunc, endpoints ...http.HandlerFunc) *fixture {
	t.Helper()
	f := newOfflineFixtureOver(dial)
	for _, handler := range endpoints {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		f.addEndpoint(strings.TrimPrefix(server.URL, "http://"))
	}
	gatewayServer := httptest.NewServer(f.gateway)
	t.Cleanup(gatewayServer.Close)
	f.url = gatewayServer.URL
	return f
}

// newOfflineFixture is newFixture without endpoints and without a server.
func newOfflineFixture() *fixture {
	return newOfflineFixtureOver(connguard.Wrap(new(net.Dialer).DialContext))
}

func newOfflineFixtureOver(dial connguard.DialFunc) *fixture {
	logger := slog.New(slog.DiscardHandler)
	d := directory.New(logger)
	g := New(Config{Name: "e", Region: "r", RetryRatio: 1, RetryBurst: 1000, VersionBound: 8 * time.Second, Seed: 1}, Deps{
		Directory: d, HeaderCodec: testHeaderCodec{}, Now: time.Now, Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: testHeaderBytes}, Logger: logger, Scope: tally.NoopScope,
	})
	f := &fixture{gateway: g, directory: d}
	document := &directory.Document{Version: 1, RequiresKeys: true, Services: map[string]*directory.Service{"s": {Name: "s"}}}
	document.Limits.MaxHeaderBytes = testHeaderBytes
	document.OrganisationByKey = map[string]*directory.Organisation{"k": {ID: "o"}}
	route := func(prefix string, kind directory.RouteKind) *directory.Route {
		return &directory.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Resumable: true, Timeout: time.Minute,
			LatencyTarget: time.Minute, GapTarget: time.Minute, MaxRuns: 2, Backends: []directory.Backend{{Service: "s", Weight: 1}},
		}
	}
	document.SetRoutes([]*directory.Route{
		route("/once/", directory.NonIdempotent), route("/again/", directory.Idempotent), route("/stream/", directory.Streaming),
	})
	d.SetDocument(document)
	return f
}

// addEndpoint adds the endpoint at an address to the directory.
func (f *fixture) addEndpoint(address string) {
	started := len(f.directory.View().Endpoints)
	f.directory.PutEndpoint(&directory.Endpoint{
		ID: fmt.Sprint("i-", started), Service: "s", Address: address, Region: "r", Slots: 4, StartedUnixMS: int64(started),
	})
}

// callerResponse is a response as the caller sees it, without its body.
type callerResponse struct {
	StatusCode int
	Header     http.Header
	Close      bool // The connection closes after the response.
}

// send sends a request and returns the response and its body.
func (f *fixture) send(t *testing.T, path string, modify func(*http.Request)) (callerResponse, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+path, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Id", "42")
	request.Header.Set("Key", "k")
	if modify != nil {
		modify(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{StatusCode: response.StatusCode, Header: response.Header, Close: response.Close}, string(body), err
}

// respondWith returns an endpoint that runs the request and responds with body.
func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, body)
	}
}

// resetConnection resets the connection after the request was read.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func rejectNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	var forwarded string
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		forwarded = fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", string(body), " ", r.Header.Get("Organisation"), " ", r.Header.Get("Endpoint"))
		respondWith("response")(w, r)
	})
	_, body, err := f.send(t, "/once/a%2Fb?x=1&y=%20", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "response")
	assert.Equal(t, forwarded, "POST /once/a%2Fb?x=1&y=%20 h.example body o i-0")
}

func TestRequestsRefusedByGateway(t *testing.T) {
	f := newFixture(t, respondWith("response"))
	for name, test := range map[string]struct {
		path   string
		change func(*http.Request)
		status int
	}{
		"no route":    {"/none/", nil, 404},
		"other host":  {"/once/", func(r *http.Request) { r.Host = "x" }, 404},
		"no key":      {"/once/", func(r *http.Request) { r.Header.Del("Key") }, 401},
		"bad key":     {"/once/", func(r *http.Request) { r.Header.Set("Key", "x") }, 401},
		"bad timeout": {"/once/", func(r *http.Request) { r.Header.Set("Left", "x") }, 400},
		"valid":       {"/once/", nil, 200},
		"long header": {"/once/", func(r *http.Request) { r.Header.Set("X", strings.Repeat("x", testHeaderBytes)) }, 431},
		"long body": {"/once/", func(r *http.Request) {
			r.ContentLength = defaultMaxBodyBytes + 1
			r.Body = io.NopCloser(endlessReader{})
		}, 413},
	} {
		response, _, err := f.send(t, test.path, test.change)
		if name == "long body" && err != nil {
			continue // The connection may close while the body is sent.
		}
		assert.NilError(t, err, name)
		assert.Equal(t, response.StatusCode, test.status, name)
	}
}

func TestIncompleteBodyTimesOutAtDeadline(t *testing.T) {
	f := newFixture(t, respondWith("response"))
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

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func TestGatewayWithoutDocumentIsNotReadyAndRefuses(t *testing.T) {
	g := New(Config{}, Deps{Directory: directory.New(slog.New(slog.DiscardHandler)), HeaderCodec: testHeaderCodec{}, Now: time.Now, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Assert(t, recorder.Header().Get("Retry-After") != "")
	assert.Assert(t, !g.Ready())
}

func TestNonIdempotentRequestIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	var runs atomic.Int64
	countAndReset := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		resetConnection(w, r)
	}
	f := newFixture(t, countAndReset, countAndReset)
	response, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, runs.Load(), int64(1))
}

func TestNonIdempotentRequestIsRetriedIfNotRun(t *testing.T) {
	f := newFixture(t, rejectNotRun, rejectNotRun, respondWith("bought"))
	for range 4 {
		response, body, err := f.send(t, "/once/", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "bought")
	}
}

func TestIdempotentRequestIsRetriedAfterLostResponse(t *testing.T) {
	f := newFixture(t, resetConnection, respondWith("balance"))
	for range 4 {
		_, body, err := f.send(t, "/again/", nil)
		assert.NilError(t, err)
		assert.Equal(t, body, "balance")
	}
}

func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"for another request": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Id", "7") },
		"encoded": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "br")
			respondWith("x")(w, r)
		},
		"truncated": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			respondWith("short")(w, r)
		},
		"not HTTP": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "noise\r\n\r\n")
			_ = conn.Close()
		},
	} {
		f := newFixture(t, bad)
		response, body, err := f.send(t, "/once/", nil)
		assert.NilError(t, err, name)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, name)
		assert.Equal(t, body, "", name)
	}
}

func TestEndpointFailureIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	})
	response, body, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, response.Header.Get("Seal"), "s")
	assert.Equal(t, body, "failed")
}

// streamEvents sends the events after the caller's last one up to count, and
// breaks the connection in the middle of event cutAt unless that is 0.
func streamEvents(count, cutAt int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		lastEventID, _ := strconv.Atoi(r.Header.Get("Last"))
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := lastEventID + 1; i <= count; i++ {
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

func eventStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestBrokenStreamResumesAtAnotherEndpointWithoutGap(t *testing.T) {
	f := newFixture(t, streamEvents(5, 3), streamEvents(5, 0))
	for range 4 {
		response, body, err := f.send(t, "/stream/", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, eventStream(5))
	}
}

func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	f := newFixture(t, streamEvents(5, 3))
	_, body, err := f.send(t, "/stream/", nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, body, eventStream(2))
}

func TestResumedStreamThatSkipsEventsIsRejected(t *testing.T) {
	skipping := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") == "" {
			streamEvents(5, 3)(w, r)
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 4\ndata: x\n\n")
	}
	f := newFixture(t, skipping, skipping)
	_, body, err := f.send(t, "/stream/", nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, body, eventStream(2))
}

func TestCallerCanResumeAfterLastEventID(t *testing.T) {
	f := newFixture(t, streamEvents(5, 0))
	_, body, err := f.send(t, "/stream/", func(r *http.Request) { r.Header.Set("Last", "3") })
	assert.NilError(t, err)
	assert.Equal(t, body, strings.TrimPrefix(eventStream(5), eventStream(3)))
}

func TestStreamMigratesFromClosedEndpoint(t *testing.T) {
	started := make(chan struct{})
	stallAfterTwoEvents := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			streamEvents(4, 0)(w, r)
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, eventStream(2))
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-r.Context().Done()
	}
	f := newFixture(t, stallAfterTwoEvents, stallAfterTwoEvents)
	go func() {
		<-started
		for moved := 0; moved == 0; {
			for _, id := range []string{"i-0", "i-1"} {
				f.gateway.migratable.setClosed(id, true)
				n, _ := f.gateway.migratable.moveIfClosed(id)
				moved += n
			}
		}
	}()
	_, body, err := f.send(t, "/stream/", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, eventStream(4))
}

func TestEventTimeoutCancelsOnlyMigratableStreams(t *testing.T) {
	f := newFixture(t, respondWith("response"))
	service := (*f.gateway.services.Load())["s"]
	resumable := &directory.Route{Kind: directory.Streaming, Resumable: true, MaxRuns: 2}
	nonResumable := &directory.Route{Kind: directory.Streaming, MaxRuns: 2}
	cause := func(req *request) error {
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		req.service = service
		s := &stream{gateway: f.gateway, req: req}
		move := newMove(ctx, cancel, f.gateway, req, &admission.Grant{EndpointID: "other"}, false)
		s.onSilence(move)()
		req.endMove(move)
		req.releasePlaced()
		return context.Cause(ctx)
	}
	assert.Equal(t, cause(&request{route: resumable}), ErrEventTimeout)
	assert.NilError(t, cause(&request{route: resumable, runs: 1}), "no run is left for another endpoint")
	assert.NilError(t, cause(&request{route: nonResumable}), "the route is not resumable")
	drainRetries(service.retryBudget)
	assert.NilError(t, cause(&request{route: resumable}), "the retry budget is empty")
}

func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	requestCancelled := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, eventStream(1))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(requestCancelled)
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
	<-requestCancelled
}

func TestServiceWithoutEndpointsIsRefusedWithRetryAfter(t *testing.T) {
	f := newFixture(t)
	response, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0)
}

func TestDrainingGatewayServesRequestsAndClosesConnections(t *testing.T) {
	f := newFixture(t, respondWith("response"))
	assert.Assert(t, f.gateway.Ready())
	f.gateway.Drain(time.Now().Add(time.Minute))
	assert.Assert(t, !f.gateway.Ready())
	response, body, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "response")
	assert.Assert(t, response.Close)
}

// During a rolling stop the balancer sends callers to all entries of a failure
// domain while fewer than half of them are ready.
func TestRejectingGatewayRefusesNewRequests(t *testing.T) {
	f := newFixture(t, respondWith("response"))
	f.gateway.Drain(time.Now().Add(time.Minute))
	f.gateway.RejectNew()
	response, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, response.Close)
}

func TestOrganisationPriorityOutranksRoutePriority(t *testing.T) {
	assert.Assert(t, combinedRank(0, 2) < combinedRank(1, 0))
	assert.Assert(t, combinedRank(1, 0) < combinedRank(1, 1))
}

func TestMinVersionFollowsVersionBound(t *testing.T) {
	f := newFixture(t)
	now := time.Now()
	view := &directory.View{
		Document: &directory.Document{Services: map[string]*directory.Service{"lm": {Name: "lm", Model: "m", Engine: &directory.Engine{}}}},
		DeclaredVersions: map[string]directory.DeclaredVersion{"m": {
			Declaration: versiontest.Declared(3, now),
			Superseded:  []directory.Declaration{versiontest.Declared(2, now.Add(-4*time.Second))},
		}},
	}
	minVersionAfter := func(after time.Duration) uint64 {
		return f.gateway.minVersion(now.Add(after), view, "lm", time.Second)
	}
	assert.Equal(t, minVersionAfter(0), uint64(directory.FirstVersion))
	assert.Equal(t, minVersionAfter(3*time.Second), uint64(2))
	assert.Equal(t, minVersionAfter(7*time.Second), uint64(3))
}

// Guards against requests that run on a version two behind a mandatory one: a third
// version that is declared within the bound must not lift the deadline of the second.
func TestMinVersionHoldsWhileSeveralNewerVersionsAreWithinTheBound(t *testing.T) {
	f := newFixture(t)
	now := time.Now()
	f.directory.SetDocument(&directory.Document{Version: 2, Services: map[string]*directory.Service{"lm": {Name: "lm", Model: "m", Engine: &directory.Engine{}}}})
	f.directory.SetDeclaration("m", versiontest.Declared(2, now.Add(-9*time.Second)))
	f.directory.SetDeclaration("m", versiontest.Declared(3, now.Add(-5*time.Second)))
	f.directory.SetDeclaration("m", versiontest.Declared(4, now.Add(-time.Second)))
	minVersionAfter := func(after time.Duration) uint64 {
		return f.gateway.minVersion(now.Add(after), f.directory.View(), "lm", time.Second)
	}
	assert.Equal(t, minVersionAfter(0), uint64(2))
	assert.Equal(t, minVersionAfter(2*time.Second), uint64(3))
	assert.Equal(t, minVersionAfter(6*time.Second), uint64(4))
}
