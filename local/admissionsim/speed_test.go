package admissionsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowEngines is a load of 0.85 of the usual capacity on eleven engines, of which one in seven is
// 2.5 times slower, drawn anew every 600 ms.
func slowEngines(reportDelay time.Duration, used bool) Pattern {
	p := Patterns()[0]
	p.RequestsPerSecond = 110
	p.Duration = 20 * time.Second
	p.ReportDelay = reportDelay
	p.Speeds = Speeds{Slow: 1.0 / 7, Factor: 2.5, Redraw: 600 * time.Millisecond, Used: used}
	return p
}

// missed returns how many requests were late or refused, over eight seeds.
func missed(p Pattern) int {
	total := 0
	for seed := range uint64(8) {
		for _, r := range RunPolicy(p, seed) {
			total += r.Late + r.Refused
		}
	}
	return total
}

// Guards against a use of slowdowns that makes more first events late: recent figures have to help,
// and those that are too old must do no harm.
func TestSlowEnginesMakeFewerFirstEventsLateWithTheirSlowdown(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		without, with := missed(slowEngines(delay, false)), missed(slowEngines(delay, true))
		t.Logf("reports %v old: %d late or refused without slowdown, %d with it", delay, without, with)
		if delay < time.Second {
			assert.Assert(t, with < without, "reports %v old: %d, without slowdown %d", delay, with, without)
			continue
		}
		assert.Assert(t, float64(with) <= 1.01*float64(without), "reports %v old: %d, without slowdown %d", delay, with, without)
	}
}
