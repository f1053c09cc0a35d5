package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that count for ever, or no more after a long pause.
func TestCallsLeaveTheirWindow(t *testing.T) {
	start := time.Now()
	w := NewCallWindow(start, 10*time.Second)
	for second := range 20 {
		w.Add(start.Add(time.Duration(second) * time.Second))
	}
	assert.Equal(t, w.Total(start.Add(19*time.Second)), 10)
	assert.Equal(t, w.Total(start.Add(24*time.Second)), 5)
	assert.Equal(t, w.Total(start.Add(time.Hour)), 0)
	w.Add(start.Add(time.Hour))
	assert.Equal(t, w.Total(start.Add(time.Hour)), 1)
}
