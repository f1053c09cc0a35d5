package gateway

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
)

// maxCrashesBeforePartQuarantine is the number of endpoints that a part of a prompt may
// crash, by however many requests, before no request with it is sent to any.
const maxCrashesBeforePartQuarantine = 5

// withParts replaces the body of a request and sets the parts of its prompt but the last.
func withParts(body string, parts ...string) func(*http.Request) {
	return func(r *http.Request) {
		withBody(body)(r)
		r.Header.Set("Parts", strings.Join(parts, ","))
	}
}

// Guards against a part of prompts that crashes endpoint after endpoint: no two requests
// with it are alike, so that none is known, and the first part is one of sound requests too.
func TestPartThatCrashesEndpointsIsQuarantined(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 3)
	served := func(body string, parts ...string) bool {
		response, _, err := f.send(t, "/stream/", withParts(body, parts...))
		assert.NilError(t, err)
		endpoints.restartCrashed()
		return response.StatusCode == http.StatusOK
	}
	for i := range 20 {
		assert.Assert(t, !served(fmt.Sprint("request ", i), "common", deadlyPart))
		assert.Assert(t, served(fmt.Sprint("sound request ", i), "common", fmt.Sprint("part ", i)))
		assert.Assert(t, served(fmt.Sprint("short request ", i), "common"))
	}
	assert.Assert(t, endpoints.crashCount() <= maxCrashesBeforePartQuarantine, "%d endpoints crashed", endpoints.crashCount())
}

// Guards against a part that crashes endpoints after the first event of its answers: that event is no
// sign that the endpoint outlives the answer.
func TestPartThatCrashesEndpointsAfterAnEventIsQuarantined(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 3)
	endpoints.lateParts = true
	send := func(body string, parts ...string) (status int, err error) {
		response, _, err := f.send(t, "/stream/", withParts(body, parts...))
		endpoints.restartCrashed()
		return response.StatusCode, err
	}
	sound := func(i int) {
		status, err := send(fmt.Sprint("sound request ", i), "common", fmt.Sprint("part ", i%5))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	for i := range 20 {
		sound(i)
	}
	for i := range 20 {
		_, _ = send(fmt.Sprint("request ", i), "common", deadlyPart)
		sound(i)
	}
	assert.Assert(t, endpoints.crashCount() <= maxCrashesBeforePartQuarantine, "%d endpoints crashed", endpoints.crashCount())
	status, err := send("request", "common", deadlyPart)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// Guards against blame for the parts beside a deadly one when no sound request comes between
// its crashes.
func TestPartBesideADeadlyOneIsNotQuarantined(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 3)
	send := func(body string, parts ...string) int {
		response, _, err := f.send(t, "/stream/", withParts(body, parts...))
		assert.NilError(t, err)
		endpoints.restartCrashed()
		return response.StatusCode
	}
	assert.Equal(t, send("first", "common"), http.StatusOK)
	for i := range 5 {
		send(fmt.Sprint("request ", i), "common", deadlyPart)
	}
	assert.Equal(t, send("request", "common", deadlyPart), http.StatusServiceUnavailable)
	assert.Equal(t, send("sound", "common"), http.StatusOK)
}

// Guards against a second entry that sends requests with a quarantined part on, and against
// engines at which they wait already.
func TestPartQuarantineHoldsAtOtherEntries(t *testing.T) {
	endpoint, reached, left := silentEndpoint()
	f := newFixture(t, endpoint)
	done := make(chan int)
	go func() {
		response, _, _ := f.send(t, "/stream/", withParts("waiting", "common", deadlyPart))
		done <- response.StatusCode
	}()
	<-reached
	part := routing.PartFingerprint("s", deadlyPart)
	f.gateway.applyStrikes(netip.AddrPort{}, loadreport.Strikes{
		{Fingerprint: part, Part: true, Crash: 1}, {Fingerprint: part, Part: true, Crash: 2}, {Fingerprint: part, Part: true, Crash: 3},
	}.Encode(nil))
	<-left
	assert.Equal(t, <-done, http.StatusBadGateway)
	response, _, err := f.send(t, "/stream/", withParts("new", "common", deadlyPart))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// Guards against a sound part that stays in quarantine: a request with it that waited at an
// endpoint, or a trial, begins.
func TestBeginAbsolvesPart(t *testing.T) {
	f := newFixture(t, respondWith(soundResponse))
	part := routing.PartFingerprint("s", "sound")
	f.gateway.strikes.Parts.Strike(part, 1, false)
	f.gateway.strikes.Parts.Strike(part, 2, false)
	for _, path := range []string{"/stream/", "/again/"} {
		response, _, err := f.send(t, path, withParts("body", "common", "sound"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, len(f.gateway.strikes.Parts.Verdict(part).Crashes), 0)
	}
	news := f.gateway.strikeNews.take()
	assert.Equal(t, len(news), 2)
	assert.Assert(t, news[0].Absolved && news[0].Part)
}

// Guards against the refusal of the last part of a prompt, or of one that was in a stream that broke
// off twice: such a crash is weak evidence, of which two are not enough.
func TestStreamThatBrokeMidwayRefusesNoPart(t *testing.T) {
	f := newFixture(t)
	endpoints := newCrashingEndpoints(t, f, 3)
	_, _, err := f.send(t, "/stream/", withParts("sound", "common"))
	assert.NilError(t, err)
	_, _, err = f.send(t, "/stream/", withParts(lateDeadlyBody, "common", "rare"))
	assert.Assert(t, err != nil, "the answer looks complete")
	assert.Equal(t, endpoints.crashCount(), 2)
	struck := 0
	for _, strike := range f.gateway.strikeNews.take() {
		if strike.Part {
			assert.Equal(t, strike.Fingerprint, routing.PartFingerprint("s", "rare"), "others were answered with the other part")
			assert.Assert(t, strike.Weak)
			struck++
		}
	}
	assert.Equal(t, struck, 2)
	response, _, err := f.send(t, "/stream/", withParts("sound", "common", "rare"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
