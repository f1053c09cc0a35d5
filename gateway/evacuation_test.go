package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
)

// place puts a listed endpoint into a failure domain.
func (f *fixture) place(id, domain string) {
	placed := *f.directory.View().Endpoints[id]
	placed.FailureDomain = domain
	f.directory.PutEndpoint(&placed)
}

// evacuate replaces the evacuated failure domains.
func (f *fixture) evacuate(domains ...string) {
	evacuated := make(map[string]directory.Evacuation)
	for _, domain := range domains {
		evacuated[domain] = directory.Evacuation{Era: 1, Revision: 1}
	}
	f.directory.SetEvacuated(evacuated)
}

// countArrivals returns an endpoint that counts the requests that reach it.
func countArrivals(arrivals *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		handler(w, r)
	}
}

// Guards against requests to a failure domain that is out of use: at the first choice, and after
// another endpoint has failed, has not run the request or has broken off a stream.
func TestNothingIsSentToAnEvacuatedFailureDomain(t *testing.T) {
	for name, other := range map[string]http.HandlerFunc{
		"answers": respondWith("id: 1\ndata: 1\n\n"), "resets": resetConnection, "does not run it": rejectNotRun, "breaks streams off": streamEvents(2, 2),
	} {
		t.Run(name, func(t *testing.T) {
			var there, elsewhere atomic.Int64
			f := newFixture(t, countArrivals(&there, respondWith("x")), countArrivals(&elsewhere, other))
			f.place("i-0", "a")
			f.place("i-1", "b")
			f.evacuate("a", "unknown")
			for range 3 {
				for _, path := range []string{"/once/", "/again/", "/stream/"} {
					_, _, _ = f.send(t, path, func(r *http.Request) { r.Header.Set("Left", "300") })
				}
			}
			assert.Equal(t, there.Load(), int64(0))
			assert.Assert(t, elsewhere.Load() > 0)
			f.evacuate()
			f.place("i-1", "c")
			f.evacuate("c")
			response, _, err := f.send(t, "/once/", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, there.Load(), int64(1), "it is in use again")
		})
	}
}

// Guards against streams that are cut because their failure domain is evacuated.
func TestStreamInAnEvacuatedFailureDomainEndsThere(t *testing.T) {
	begun, evacuated := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, eventStream(1))
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-evacuated
		_, _ = io.WriteString(w, eventStream(2)[len(eventStream(1)):])
	})
	f.place("i-0", "a")
	go func() {
		<-begun
		f.evacuate("a")
		close(evacuated)
	}()
	_, body, err := f.send(t, "/stream/", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, eventStream(2))
}

// Guards against connections to an evacuated failure domain that find out whether an endpoint there
// has crashed, and against strikes without that knowledge.
func TestCrashInAnEvacuatedFailureDomainIsNotProbed(t *testing.T) {
	for domain, probed := range map[string]bool{"a": false, "b": true} {
		f := newFixture(t)
		endpoints := newCrashingEndpoints(t, f, 1)
		f.place("i-0", "a")
		endpoints.beforeCrash = func() { f.evacuate(domain) }
		_, _, _ = f.send(t, "/once/", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(deadlyBody))
			r.ContentLength = int64(len(deadlyBody))
		})
		f.gateway.crashes.mu.Lock()
		assert.Equal(t, len(f.gateway.crashes.crashed) > 0, probed)
		f.gateway.crashes.mu.Unlock()
	}
}
