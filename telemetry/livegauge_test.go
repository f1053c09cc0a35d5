package telemetry_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/telemetry"
)

// Guards against times on the metrics page that lag, and against series of versions or
// endpoints that no longer exist.
func TestLiveGaugeIsReadWhenThePageIsServed(t *testing.T) {
	tel, err := telemetry.Start(t.Context(), testConfig(&bytes.Buffer{}))
	assert.NilError(t, err)
	series := map[string]float64{}
	gauge := telemetry.LiveGauge{Name: "live_gauge", Tags: []string{"version"}, Read: func(report func(float64, ...string)) {
		for version, value := range series {
			report(value, version)
		}
	}}
	assert.NilError(t, tel.AddLiveGauges(gauge))
	page := func() string {
		return get(t, tel.Handler(func() error { return nil }), "/metrics").Body.String()
	}
	assert.Assert(t, !strings.Contains(page(), "snipestep_live_gauge"))
	series["2"], series["3"] = 0.5, -1.25
	assert.Assert(t, strings.HasPrefix(page(), "# HELP snipestep_live_gauge "), "gauges come first")
	assert.Assert(t, strings.Contains(page(), "\nsnipestep_live_gauge{version=\"2\"} 0.5\nsnipestep_live_gauge{version=\"3\"} -1.25\n"))
	delete(series, "2")
	assert.Assert(t, !strings.Contains(page(), "version=\"2\""))
	assert.Assert(t, strings.Contains(page(), "version=\"3\""))
	assert.ErrorContains(t, tel.AddLiveGauges(gauge), "snipestep_live_gauge")
	assert.NilError(t, tel.Shutdown(t.Context()))
}
