package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that are checked for ever after one pause, or not at all before the detector itself
// has run again.
func TestPauseIsKnownUntilWhatArrivedInItWasRead(t *testing.T) {
	start := time.Now()
	now := start
	d := &pauseDetector{now: func() time.Time { return now }}
	lately := func(at time.Duration, tick bool) bool {
		now = start.Add(at)
		if tick {
			d.tick(now)
		}
		return d.pausedLately()
	}
	assert.Assert(t, !lately(0, false), "the process starts")
	assert.Assert(t, !lately(0, true))
	assert.Assert(t, !lately(100*time.Millisecond, true))
	assert.Assert(t, lately(3*time.Second, false), "the detector has not run yet")
	assert.Assert(t, lately(3*time.Second, true))
	assert.Assert(t, lately(3200*time.Millisecond, true))
	for at := 3400 * time.Millisecond; at <= 4*time.Second; at += 100 * time.Millisecond {
		lately(at, true)
	}
	assert.Assert(t, !lately(4100*time.Millisecond, true))
}
