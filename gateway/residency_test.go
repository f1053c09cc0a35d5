package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// placeInRegion puts a listed endpoint into a region.
func (f *fixture) placeInRegion(id, region string) {
	placed := *f.directory.View().Endpoints[id]
	placed.Region = region
	f.directory.PutEndpoint(&placed)
}

// limitRegions puts a document into force that limits all routes and the organisation.
func (f *fixture) limitRegions(route, organisation []string) {
	previous := f.directory.View().Document
	next := *previous
	next.Version++
	next.OrganisationByKey = map[string]*directory.Organisation{"k": {ID: "o", Regions: core.NewRegionSet(organisation)}}
	var routes []*directory.Route
	for _, prefix := range []string{"/once/", "/again/", "/stream/"} {
		limited := *previous.Match("h.example", prefix)
		limited.Regions = core.NewRegionSet(route)
		routes = append(routes, &limited)
	}
	next.SetRoutes(routes)
	f.directory.SetDocument(&next)
}

// Guards against bodies outside the regions that both the route and the organisation allow: at the
// first choice, in retries, and when a stream is resumed.
func TestRequestReachesOnlyRegionsThatBothListsAllow(t *testing.T) {
	for name, inside := range map[string]http.HandlerFunc{
		"answers": respondWith("id: 1\ndata: 1\n\n"), "resets": resetConnection, "does not run it": rejectNotRun, "breaks streams off": streamEvents(3, 2),
	} {
		t.Run(name, func(t *testing.T) {
			var reached [3]atomic.Int64
			f := newFixture(t, countArrivals(&reached[0], respondWith("x")), countArrivals(&reached[1], inside), countArrivals(&reached[2], respondWith("x")))
			for i := range reached {
				f.placeInRegion(fmt.Sprint("i-", i), fmt.Sprint("r", i))
			}
			f.limitRegions([]string{"r0", "r1"}, []string{"r1", "r2"})
			for _, path := range []string{"/once/", "/again/", "/stream/", "/once/", "/again/", "/stream/"} {
				_, _, _ = f.send(t, path, func(r *http.Request) { r.Header.Set("Left", "300") })
			}
			assert.Equal(t, reached[0].Load()+reached[2].Load(), int64(0))
			assert.Assert(t, reached[1].Load() > 0)
		})
	}
}

// Guards against a caller that waits for a region without endpoints, and against a Retry-After that
// tells of a time that nobody knows.
func TestRequestWithoutAnAllowedEndpointIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, respondWith("x"))
	for _, lists := range [][2][]string{{{"elsewhere"}, nil}, {nil, {"elsewhere"}}, {{"r"}, {"elsewhere"}}} {
		f.limitRegions(lists[0], lists[1])
		for _, path := range []string{"/once/", "/again/", "/stream/"} {
			response, _, err := f.send(t, path, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after >= minRetryAfter.Seconds() && after <= 1.5*minRetryAfter.Seconds()+0.01, "%v", after)
		}
	}
	f.limitRegions([]string{}, []string{})
	response, _, err := f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a body that is sent by the limits of a document that is no longer in force.
func TestRequestIsNotSentToARegionThatIsNoLongerAllowed(t *testing.T) {
	for name, test := range map[string]struct {
		change    func(*fixture)
		withdrawn bool
	}{
		"route":         {func(f *fixture) { f.limitRegions([]string{"r2"}, nil) }, true},
		"organisation":  {func(f *fixture) { f.limitRegions(nil, []string{"r2"}) }, true},
		"still allowed": {func(f *fixture) { f.limitRegions([]string{"r", "r2"}, []string{"r"}) }, false},
		"route is gone": {func(f *fixture) {
			next := *f.directory.View().Document
			next.Version++
			next.SetRoutes(nil)
			next.OrganisationByKey = nil
			f.directory.SetDocument(&next)
		}, false},
		"endpoint is in another region": {func(f *fixture) {
			f.limitRegions([]string{"r", "r2"}, nil)
			f.placeInRegion("i-0", "r3")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			f := newFixture(t, countArrivals(&arrivals, respondWith("x")))
			req, httpRequest := f.prepared(t)
			grant, err := f.gateway.acquireSlot(t.Context(), req, false)
			assert.NilError(t, err)
			test.change(f)
			attempt, mayHaveRun, err := f.gateway.send(t.Context(), httpRequest, req, grant, "")
			attempt.end(attemptOutcome(t.Context(), err))
			if !test.withdrawn {
				assert.NilError(t, err)
				assert.Equal(t, arrivals.Load(), int64(1))
				return
			}
			assert.DeepEqual(t, err, &UnavailableError{EndpointID: "i-0", Reason: admission.UnavailableRegion})
			assert.Assert(t, !mayHaveRun)
			assert.Equal(t, arrivals.Load(), int64(0))
			_, err = f.gateway.acquireSlot(t.Context(), req, false)
			assert.ErrorContains(t, err, string(admission.ReasonNoEndpoint), "the next choice knows the limit")
		})
	}
}

// prepared returns a request that may be forwarded.
func (f *fixture) prepared(t *testing.T) (*request, *http.Request) {
	t.Helper()
	httpRequest := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/again/", http.NoBody)
	httpRequest.Header.Set("Key", "k")
	httpRequest.Header.Set("Id", "1")
	req := &request{arrivedAt: time.Now(), logger: f.gateway.deps.Logger}
	assert.Assert(t, f.gateway.prepareRequest(req, httptest.NewRecorder(), httpRequest) == nil)
	return req, httpRequest
}

// Guards against a choice by the limits of the document at the arrival alone, which would be
// withdrawn at one endpoint after the other.
func TestChoiceKnowsTheLimitsInForce(t *testing.T) {
	f := newFixture(t, respondWith("x"))
	req, _ := f.prepared(t)
	f.limitRegions([]string{"r2"}, nil)
	_, err := f.gateway.acquireSlot(t.Context(), req, false)
	assert.ErrorContains(t, err, string(admission.ReasonNoEndpoint))
}

// Guards against a limit that a later document lifts for a request that arrived under it.
func TestLimitAtTheArrivalBinds(t *testing.T) {
	limited := func(regions ...string) *directory.Document {
		d := &directory.Document{}
		d.SetRoutes([]*directory.Route{{Host: "h", Prefix: "/", Regions: core.NewRegionSet(regions)}})
		return d
	}
	first := limited("a", "b")
	r := newResidency(first, first.Match("h", "/"), "h", "/", "")
	for _, step := range []struct {
		document *directory.Document
		a, b, c  bool
	}{
		{limited("b", "c"), false, true, false},
		{limited(), true, true, false},
		{limited("c"), false, false, false},
		{&directory.Document{}, true, true, false},
		{nil, true, true, false},
	} {
		r.update(step.document)
		assert.DeepEqual(t, []bool{r.allowed.Contains("a"), r.allowed.Contains("b"), r.allowed.Contains("c")}, []bool{step.a, step.b, step.c})
	}
}
