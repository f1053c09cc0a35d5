package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/telemetry"
)

var errNotReady = eris.New("no configuration yet")

func testConfig(out *bytes.Buffer) telemetry.Config {
	return telemetry.Config{
		Program:   "snipestep-entry",
		Instance:  "e1",
		LogOutput: out,
		Settings:  settings.Telemetry{LogLevel: "info", SampleRatio: 1},
	}
}

func get(t *testing.T, handler http.Handler, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
	return recorder
}

func TestReferencePage(t *testing.T) {
	golden.Assert(t, telemetry.Reference(), "../../docs/metrics.md")
}

func TestMetricNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, m := range telemetry.Metrics {
		assert.Assert(t, !seen[m.Name], m.Name)
		seen[m.Name] = true
	}
}

func TestLogsAreJSON(t *testing.T) {
	var out bytes.Buffer
	tel, err := telemetry.Start(t.Context(), testConfig(&out))
	assert.NilError(t, err)
	tel.Logger.Debug("hidden")
	tel.Logger.Info("started", "generation", 3)
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["instance"], "e1")
	assert.NilError(t, tel.Shutdown(t.Context()))
}

func TestHealthReadinessAndMetricsPages(t *testing.T) {
	var out bytes.Buffer
	tel, err := telemetry.Start(t.Context(), testConfig(&out))
	assert.NilError(t, err)
	tel.Scope.Tagged(map[string]string{telemetry.TagRank: "urgent"}).Gauge(telemetry.MetricWaitingCalls).Update(2)
	var ready atomic.Bool
	handler := tel.Handler(func() error {
		if ready.Load() {
			return nil
		}
		return errNotReady
	})
	assert.Equal(t, get(t, handler, "/healthz").Code, http.StatusOK)
	assert.Equal(t, get(t, handler, "/readyz").Code, http.StatusServiceUnavailable)
	ready.Store(true)
	assert.Equal(t, get(t, handler, "/readyz").Code, http.StatusOK)
	assert.NilError(t, tel.Shutdown(t.Context())) // Flushes the scope.
	page := get(t, handler, "/metrics").Body.String()
	assert.Assert(t, bytes.Contains([]byte(page), []byte(`snipestep_waiting_calls{rank="urgent"} 2`)), page)
}

func TestSpansReachTheCollector(t *testing.T) {
	var posts atomic.Int32
	collector := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { posts.Add(1) }))
	defer collector.Close()
	var out bytes.Buffer
	c := testConfig(&out)
	c.Settings.OTLPURL = collector.URL + "/v1/traces"
	tel, err := telemetry.Start(t.Context(), c)
	assert.NilError(t, err)
	ctx, span := tel.Tracer.Start(t.Context(), "call")
	remote := telemetry.Extract(context.Background(), telemetry.Inject(ctx))
	assert.Equal(t, telemetry.Inject(remote), telemetry.Inject(ctx))
	span.End()
	assert.NilError(t, tel.Shutdown(t.Context()))
	assert.Assert(t, posts.Load() > 0)
}

func TestTraceparentWithoutSpan(t *testing.T) {
	assert.Equal(t, telemetry.Inject(t.Context()), "")
	ctx := telemetry.Extract(t.Context(), "nonsense")
	assert.Equal(t, telemetry.Inject(ctx), "")
}

func TestUnknownLogLevel(t *testing.T) {
	c := testConfig(&bytes.Buffer{})
	c.Settings.LogLevel = "loud"
	_, err := telemetry.Start(t.Context(), c)
	assert.Error(t, err, `log level "loud" does not exist`)
}
