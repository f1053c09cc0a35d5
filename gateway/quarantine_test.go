package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/strikes"
)

// withBody replaces the body of a request.
func withBody(body string) func(*http.Request) {
	return func(r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
}

// maxCrashesBeforeQuarantine is the number of endpoints that a request may crash before
// it is no longer sent to any.
const maxCrashesBeforeQuarantine = 3

// Guards against a request that crashes endpoint after endpoint: each attempt of its
// caller started from nothing, so it was sent to endpoints for as long as it came.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		f := newFixture(t)
		endpoints := newCrashingEndpoints(t, f, 3)
		status := 0
		for range 10 {
			response, _, err := f.send(t, path, withBody(deadlyBody))
			assert.NilError(t, err)
			status = response.StatusCode
			endpoints.restartCrashed()
		}
		assert.Assert(t, endpoints.crashCount() <= maxCrashesBeforeQuarantine, "%s: %d endpoints crashed", path, endpoints.crashCount())
		assert.Equal(t, status, http.StatusServiceUnavailable, "a request that isn't sent on has not run")

		response, body, err := f.send(t, path, withBody("sound"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, soundResponse)
	}
}

// Guards against an endpoint that starts again under its ID: its crashes counted once, so
// that a service with one endpoint got no second strike.
func TestEndpointThatKeepsItsIDMayCrashAgain(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 1)
	endpoints.keepIDs = true
	for range 2 {
		_, _, err := f.send(t, "/once/", withBody(deadlyBody))
		assert.NilError(t, err)
		endpoints.restartCrashed()
	}
	assert.Equal(t, endpoints.crashCount(), 2)
	assert.Equal(t, f.gateway.strikes.Quarantined(), 1)
}

// Guards against quarantine by connections that were only lost: links and endpoints break
// answers off without a crash.
func TestLostConnectionsQuarantineNobody(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		var reached atomic.Int64
		countAndReset := func(w http.ResponseWriter, r *http.Request) {
			reached.Add(1)
			resetConnection(w, r)
		}
		f := newFixture(t, countAndReset, countAndReset, countAndReset)
		for range 2 {
			response, _, err := f.send(t, path, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, path)
		}
		assert.Assert(t, reached.Load() >= 2)
		assert.Equal(t, f.gateway.strikes.Quarantined(), 0)
		assert.Equal(t, len(f.gateway.strikeNews.take()), 0)
	}
}

// Guards against blame for endpoints that leave as planned with requests still open: a
// release ends one after the other.
func TestEndOfLeavingEndpointIsNoCrash(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 1)
	endpoints.beforeCrash = func() {
		for _, e := range f.directory.View().Endpoints {
			leaving := *e
			leaving.Draining = true
			f.directory.PutEndpoint(&leaving)
		}
	}
	response, _, err := f.send(t, "/once/", withBody(deadlyBody))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, len(f.gateway.strikeNews.take()), 0)
}

// Guards against a second entry that starts from nothing with a request that has crashed
// endpoints at the first one.
func TestQuarantineHoldsAtOtherEntries(t *testing.T) {
	f, other := newFixture(t), newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 3)
	otherEndpoints := newCrashingEndpoints(t, other, 1)
	for range 3 {
		_, _, err := f.send(t, "/again/", withBody(deadlyBody))
		assert.NilError(t, err)
		endpoints.restartCrashed()
	}
	datagram := f.gateway.strikeNews.take().Encode(f.gateway.config.FleetKey)
	other.gateway.applyStrikes(netip.AddrPort{}, datagram)

	response, _, err := other.send(t, "/again/", withBody(deadlyBody))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, otherEndpoints.crashCount(), 0)
	retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter > maxRetryAfter.Seconds(), "it is no use to come back within %v s", retryAfter)
	trial := quarantineConfig(newRandomSource(other.gateway.config.Seed)).TrialAfter
	const resolution = 0.01 // Seconds, of the header.
	assert.Assert(t, retryAfter <= trial.Seconds()+resolution, "the request may run again after %v, not %v s", trial, retryAfter)
}

// Guards against sound requests that stay suspects: they run at other endpoints after a
// crash that they stood beside.
func TestServedRequestIsAbsolved(t *testing.T) {
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		f := newFixture(t, respondWith(soundResponse))
		_, _, err := f.send(t, path, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(f.gateway.strikeNews.take()), 0, "a request without strikes has nothing to be absolved of")

		fingerprint := fingerprintOf(path)
		f.gateway.strikes.Requests.Strike(fingerprint, 1, false)
		_, _, err = f.send(t, path, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(f.gateway.strikes.Requests.Verdict(fingerprint).Crashes), 0, path)
		news := f.gateway.strikeNews.take()
		assert.Equal(t, len(news), 1)
		assert.Assert(t, news[0].Absolved)
	}
}

// fingerprintOf returns the fingerprint of the request that fixture.send sends.
func fingerprintOf(path string) uint64 {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example"+path, nil)
	req := &request{organisation: "o", body: []byte("body"), service: &service{}}
	req.setFingerprints(r)
	return req.fingerprint
}

// Guards against the crash of endpoints at which a quarantined stream waits already: it is
// withdrawn from there.
func TestQuarantineWithdrawsWaitingStreams(t *testing.T) {
	endpoint, reached, left := silentEndpoint()
	f := newFixture(t, endpoint)
	done := make(chan int)
	go func() {
		response, _, _ := f.send(t, "/stream/", nil)
		done <- response.StatusCode
	}()
	<-reached
	fingerprint := fingerprintOf("/stream/")
	f.gateway.strikes.Requests.Strike(fingerprint, 1, false)
	f.gateway.applyStrikes(netip.AddrPort{}, loadreport.Strikes{{Fingerprint: fingerprint, Crash: 2}}.Encode(nil))
	<-left
	assert.Equal(t, <-done, http.StatusBadGateway, "the request was at an endpoint, so a promise that it has not run would be false")
}

// Guards against refusals of a stream's caller that blame the stream after its answer had
// begun: most such streams stood beside the request that crashed the endpoint.
func TestStreamThatBrokeMidwayTwiceIsNotQuarantined(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 3)
	_, _, err := f.send(t, "/stream/", withBody(lateDeadlyBody))
	assert.Assert(t, err != nil, "the answer looks complete")
	assert.Equal(t, endpoints.crashCount(), 2)
	for _, strike := range f.gateway.strikeNews.take() {
		assert.Assert(t, strike.Late)
	}
	assert.Equal(t, f.gateway.strikes.Quarantined(), 0)
}

// Guards against entries that all try a quarantined request again at once, and against
// several trials at one entry: each costs an endpoint if the request is deadly.
func TestOneTrialRunsAtATime(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			close(arrived)
			<-proceed
		}
		respondWith(soundResponse)(w, r)
	})
	release := sync.OnceFunc(func() { close(proceed) })
	t.Cleanup(release)
	f.gateway.strikes.Requests = strikes.NewRegister(routing.QuarantineConfig{TrialAfter: time.Nanosecond}, time.Now)
	fingerprint := fingerprintOf("/once/")
	f.gateway.strikes.Requests.Strike(fingerprint, 1, false)
	f.gateway.strikes.Requests.Strike(fingerprint, 2, false)
	send := func() int {
		response, _, err := f.send(t, "/once/", nil)
		assert.Check(t, err)
		return response.StatusCode
	}
	trial := make(chan int)
	go func() { trial <- send() }()
	<-arrived
	assert.Equal(t, send(), http.StatusServiceUnavailable)
	release()
	assert.Equal(t, <-trial, http.StatusOK)
	assert.Equal(t, send(), http.StatusOK, "the trial has absolved the request")

	spread := map[time.Duration]bool{}
	for seed := range uint64(10) {
		spread[quarantineConfig(newRandomSource(seed)).TrialAfter/time.Second] = true
		spread[partQuarantineConfig(newRandomSource(seed)).TrialAfter/time.Second] = true
	}
	assert.Assert(t, len(spread) > 10, "entries try at different times")
}
