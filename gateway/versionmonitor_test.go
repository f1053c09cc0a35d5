package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/telemetry"
)

// versionFixture is a gateway for the service "lm" of the model "m", whose engines are
// at a version.
type versionFixture struct {
	gateway   *Gateway
	directory *directory.Directory
	scope     tally.TestScope
	log       *logRecorder
}

func newVersionFixture(t *testing.T, versionBound time.Duration) *versionFixture {
	t.Helper()
	f := &versionFixture{scope: tally.NewTestScope("", nil), log: &logRecorder{}}
	logger := f.log.logger()
	f.directory = directory.New(logger)
	f.gateway = New(Config{Name: "e", Region: "r", VersionBound: versionBound}, Deps{
		Directory: f.directory, HeaderCodec: testHeaderCodec{}, Now: time.Now, Transport: &http.Transport{DisableCompression: true}, Logger: logger, Scope: f.scope,
	})
	document := &directory.Document{Version: 1, Services: map[string]*directory.Service{
		"lm":    {Name: "lm", Model: "m", Engine: &directory.Engine{}},
		"plain": {Name: "plain"},
	}}
	document.SetRoutes([]*directory.Route{{
		Name: "once", Host: "h.example", Prefix: "/once/", Kind: directory.NonIdempotent, Timeout: time.Minute,
		LatencyTarget: time.Second, MaxRuns: 1, Backends: []directory.Backend{{Service: "lm", Weight: 1}},
	}})
	f.directory.SetDocument(document)
	return f
}

// gauge returns the value of a gauge of the service "lm".
func (f *versionFixture) gauge(t *testing.T, name string) float64 {
	t.Helper()
	gauge, ok := f.scope.Snapshot().Gauges()[tally.KeyForPrefixedStringMap(name, map[string]string{telemetry.TagService: "lm"})]
	assert.Assert(t, ok, "gauge %s is not reported", name)
	return gauge.Value()
}

func TestVersionGaugesOfAnEntry(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	assert.Equal(t, f.gauge(t, telemetry.MetricMinVersion), 1.0)
	assert.Equal(t, f.gauge(t, telemetry.MetricDeclaredVersion), 1.0)
	assert.Equal(t, f.gauge(t, telemetry.MetricDeclaredVersionAge), 0.0, "no version was declared")
	f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now().Add(-2*time.Hour)))
	f.directory.SetDeclaration("m", versiontest.Declared(3, time.Now().Add(-time.Minute)))
	assert.Equal(t, f.gauge(t, telemetry.MetricMinVersion), 2.0)
	assert.Equal(t, f.gauge(t, telemetry.MetricDeclaredVersion), 3.0)
	age := f.gauge(t, telemetry.MetricDeclaredVersionAge)
	assert.Assert(t, age >= 60 && age < 120, age)
	for _, gauge := range f.scope.Snapshot().Gauges() {
		assert.Equal(t, gauge.Tags()[telemetry.TagService], "lm", "services without weights have no versions")
	}
}

// The view need not change for the minimum version to rise and the age to grow.
func TestVersionGaugesFollowTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dueAfter = 2 * time.Second
		f := newVersionFixture(t, versionSafetyMargin+dueAfter)
		f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now()))
		go f.gateway.superviseAttempts(t.Context())
		time.Sleep(dueAfter - superviseInterval)
		synctest.Wait()
		assert.Equal(t, f.gauge(t, telemetry.MetricMinVersion), 1.0)
		time.Sleep(superviseInterval)
		synctest.Wait()
		assert.Equal(t, f.gauge(t, telemetry.MetricMinVersion), 2.0)
		assert.Equal(t, f.gauge(t, telemetry.MetricDeclaredVersionAge), dueAfter.Seconds())
	})
}

// minVersionLines returns the lines on changes of the minimum version.
func (f *versionFixture) minVersionLines(t *testing.T) []map[string]any {
	t.Helper()
	return f.log.lines(t, "minimum version changed")
}

func TestChangeOfMinimumVersionIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 10 * time.Second
		f := newVersionFixture(t, bound)
		go f.gateway.superviseAttempts(t.Context())
		f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now()))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.DeepEqual(t, withoutHeader(f.minVersionLines(t)), []map[string]any{
			{"service": "lm", "old": 0.0, "new": 1.0, "declared": 1.0},
			{"service": "lm", "old": 1.0, "new": 2.0, "declared": 2.0, "age_ms": 9500.0, "max_age_ms": 9500.0, "counted_ms": 9500.0, "basis": "last answer", "superseded": "1"},
		})
	})
}

// A process that starts late does not know all superseded versions, nor the age of the
// declared one.
func TestLineOfMinimumVersionTellsWhatTheEntryKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFixture(t, 10*time.Second)
		f.directory.SetInitialVersion(time.Now().Add(-9500*time.Millisecond), "m", 3, 200*time.Millisecond)
		assert.DeepEqual(t, withoutHeader(f.minVersionLines(t)[1:]), []map[string]any{
			{"service": "lm", "old": 1.0, "new": 3.0, "declared": 3.0, "age_ms": 9500.0, "counted_ms": 9700.0, "basis": "guess", "superseded": "1"},
		})
		f.directory.SetDeclaration("m", versiontest.Declared(4, time.Now().Add(-9600*time.Millisecond)))
		assert.DeepEqual(t, withoutHeader(f.minVersionLines(t)[2:]), []map[string]any{
			{"service": "lm", "old": 3.0, "new": 4.0, "declared": 4.0, "age_ms": 9600.0, "max_age_ms": 9600.0, "counted_ms": 9600.0, "basis": "last answer", "superseded": "3 (9.5s, counted 9.7s)"},
		})
	})
}

// requestEnd sends a request for the service "lm" and returns the line on its end.
func (f *versionFixture) requestEnd(t *testing.T) map[string]any {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/once/", strings.NewReader("body"))
	request.Header.Set("Id", "42")
	f.gateway.ServeHTTP(httptest.NewRecorder(), request)
	ended := f.log.lines(t, "request ended")
	assert.Assert(t, len(ended) > 0)
	return ended[len(ended)-1]
}

// listEndpoint lists an engine of the service "lm" whose agent has just reported its
// version.
func (f *versionFixture) listEndpoint(t *testing.T, loadedVersion uint64, handler http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f.directory.PutEndpoint(&directory.Endpoint{
		ID: "i-0", Service: "lm", Address: strings.TrimPrefix(server.URL, "http://"), Region: "r", Slots: 4,
	})
	(*f.gateway.services.Load())["lm"].gate.Update(func(p *admission.Pool) {
		p.Report("i-0", admission.Report{ReceivedAt: time.Now(), LoadedVersion: loadedVersion})
	})
}

// A request that began on a superseded version could not be told from others by the
// log.
func TestEndOfRequestHasTheVersionsOfTheChoice(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now().Add(-2*time.Hour)))
	f.directory.SetDeclaration("m", versiontest.Declared(3, time.Now()))
	f.listEndpoint(t, 3, respondWith("response"))
	ended := f.requestEnd(t)
	assert.Equal(t, ended["outcome"], "answered")
	assert.Equal(t, ended["service"], "lm")
	assert.Equal(t, ended["endpoint_version"], 3.0)
	assert.Equal(t, ended["min_version"], 2.0)
}

func TestFailedAttemptHasTheVersionsOfTheChoice(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	f.listEndpoint(t, 1, resetConnection)
	f.requestEnd(t)
	failed := f.log.lines(t, "attempt failed")
	assert.Equal(t, len(failed), 1)
	assert.Equal(t, failed[0]["endpoint_version"], 1.0)
	assert.Equal(t, failed[0]["min_version"], 1.0)
}

// In a flood of refusals these lines are all that a tail of the log holds.
func TestEndOfRefusedRequestHasTheMinimumVersion(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now().Add(-2*time.Hour)))
	f.listEndpoint(t, 1, respondWith("response"))
	ended := f.requestEnd(t)
	assert.Equal(t, ended["outcome"], "refused")
	assert.Equal(t, ended["service"], "lm")
	assert.Equal(t, ended["endpoint_version"], 0.0, "no endpoint was chosen")
	assert.Equal(t, ended["report_age_ms"], -1.0)
	assert.Equal(t, ended["min_version"], 2.0)
}
