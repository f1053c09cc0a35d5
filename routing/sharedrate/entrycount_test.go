package sharedrate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a share that grows at once when entries are no longer heard of, or that never
// grows again after they are gone.
func TestLargerNumberOfEntriesExpires(t *testing.T) {
	c := NewEntryCount(at(0))
	assert.Equal(t, c.Value(at(1)), 0)
	minute := func(n float64) time.Time { return at(0).Add(time.Duration(n * float64(time.Minute))) }
	c.Observe(minute(0.1), 11)
	assert.Equal(t, c.Value(minute(0.2)), minAssumedEntries, "until the entry has run for ten minutes")
	c.Observe(minute(20), 30)
	c.Observe(minute(20.5), 11)
	assert.Equal(t, c.Value(minute(30)), 30)
	c.Observe(minute(30), 11)
	assert.Equal(t, c.Value(minute(31.5)), 11)
	assert.Equal(t, c.Value(minute(500)), 11, "the only number does not expire")
	c.Observe(minute(500), 0)
	c.Observe(minute(500), -3)
	assert.Equal(t, c.Value(minute(500)), 11)
	c.Observe(minute(501), 4)
	assert.Equal(t, c.Value(minute(501)), 4)
}
