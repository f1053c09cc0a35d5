package telemetry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/telemetry"
)

// metricsPage returns the metrics page of a program that recorded some metrics.
func metricsPage(t *testing.T, record func(tally.Scope)) string {
	t.Helper()
	tel, err := telemetry.Start(t.Context(), testConfig(&bytes.Buffer{}))
	assert.NilError(t, err)
	record(tel.Scope)
	assert.NilError(t, tel.Shutdown(t.Context())) // Flushes the scope.
	response := get(t, tel.Handler(func() error { return nil }), "/metrics")
	assert.Equal(t, response.Code, http.StatusOK)
	return response.Body.String()
}

// A collector that keeps only the start of the page saw metrics of the Go runtime and
// nothing of the state of the process.
func TestStartOfMetricsPageHoldsTheGauges(t *testing.T) {
	const keptBytes = 4000
	const gauges = 20
	page := metricsPage(t, func(scope tally.Scope) {
		for i := range 40 {
			scope.Counter(fmt.Sprintf("a_counter_%02d_total", i)).Inc(1)
			scope.Histogram(fmt.Sprintf("b_histogram_%02d_seconds", i), tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)).RecordDuration(time.Second)
		}
		for i := range gauges {
			scope.Gauge(fmt.Sprintf("z_gauge_%02d", i)).Update(float64(i))
		}
	})
	kept := page[:keptBytes]
	for i := range gauges {
		assert.Assert(t, strings.Contains(kept, fmt.Sprintf("\nsnipestep_z_gauge_%02d %d\n", i, i)), kept)
	}
}

func TestMetricsPageOrder(t *testing.T) {
	page := metricsPage(t, func(scope tally.Scope) {
		scope.Histogram("a_histogram_seconds", tally.DurationBuckets{time.Second}).RecordDuration(time.Second)
		scope.Counter("b_counter_total").Inc(1)
		scope.Gauge("d_gauge").Update(1)
		scope.Gauge("c_gauge").Update(1)
	})
	last := -1
	for _, family := range []string{"snipestep_c_gauge gauge", "snipestep_d_gauge gauge", "snipestep_b_counter_total counter", "snipestep_a_histogram_seconds histogram", "go_goroutines gauge", "process_cpu_seconds_total counter"} {
		position := strings.Index(page, "# TYPE "+family+"\n")
		assert.Assert(t, position > last, "%s is missing or out of order in:\n%s", family, page)
		last = position
	}
}
