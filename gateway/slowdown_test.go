package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against a log line for each response of an endpoint with an odd figure.
func TestSlowdownErrorIsNewOnceForEachEndpointAndKind(t *testing.T) {
	s := newSlowdownErrors()
	assert.Assert(t, s.isNew("a", SlowdownMalformed))
	assert.Assert(t, !s.isNew("a", SlowdownMalformed))
	assert.Assert(t, s.isNew("a", SlowdownOutOfRange))
	assert.Assert(t, s.isNew("b", SlowdownMalformed))
}

// slowdownAfter returns the slowdown that a choice uses after a response with a header.
func slowdownAfter(t *testing.T, use bool, slow, id string) (float64, *logRecorder) {
	t.Helper()
	f := newFixture(t)
	log := &logRecorder{}
	f.gateway.deps.Logger = slog.New(slog.NewJSONHandler(log, nil))
	f.gateway.config.UseSlowdown = use
	f.gateway.services.Store(&map[string]*service{"s": f.gateway.newService(&directory.Service{Name: "s"})})
	f.addEndpoint(serveHeader(t, slow, id))
	for range 3 {
		_, _, err := f.send(t, "/again/", nil)
		assert.NilError(t, err)
	}
	grant := (*f.gateway.services.Load())["s"].gate.TryAcquire(admission.Request{ArrivedAt: time.Now()})
	assert.Assert(t, grant != nil)
	defer grant.Done(admission.Cancelled)
	return grant.Estimate.Slowdown, log
}

// serveHeader starts an endpoint that states a slowdown, and returns its address.
func serveHeader(t *testing.T, slow, id string) string {
	t.Helper()
	return serveEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if id == "" {
			id = r.Header.Get("Id")
		}
		w.Header().Set("Id", id)
		w.Header().Set("Slow", slow)
		w.WriteHeader(http.StatusOK)
	})
}

func TestSlowdownOfAResponseIsUsedForTheNextChoice(t *testing.T) {
	slowdown, log := slowdownAfter(t, true, "2.5", "")
	assert.Equal(t, slowdown, 2.5)
	assert.Equal(t, len(log.lines(t, "unusable slowdown in a response")), 0)
}

func TestSlowdownIsNotStoredWithTheSwitchOff(t *testing.T) {
	slowdown, _ := slowdownAfter(t, false, "2.5", "")
	assert.Equal(t, slowdown, 0.0)
}

func TestOddSlowdownIsUnknownAndLoggedOnce(t *testing.T) {
	slowdown, log := slowdownAfter(t, true, "odd", "")
	assert.Equal(t, slowdown, 1.0)
	assert.Equal(t, len(log.lines(t, "unusable slowdown in a response")), 1)
}

// Guards against the figure of a response that belongs to another request: it may be an old copy.
func TestSlowdownOfAForeignResponseIsNotUsed(t *testing.T) {
	f := newFixture(t)
	f.gateway.config.UseSlowdown = true
	f.gateway.services.Store(&map[string]*service{"s": f.gateway.newService(&directory.Service{Name: "s"})})
	f.addEndpoint(serveHeader(t, "2.5", "another"))
	_, _, _ = f.send(t, "/once/", nil)
	grant := (*f.gateway.services.Load())["s"].gate.TryAcquire(admission.Request{ArrivedAt: time.Now()})
	assert.Assert(t, grant != nil)
	defer grant.Done(admission.Cancelled)
	assert.Equal(t, grant.Estimate.Slowdown, 1.0)
}

// serveEndpoint starts an endpoint and returns its address.
func serveEndpoint(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
