package weights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPacer checks that the rate falls at once when inference requests arrive,
// never to zero, and rises gradually.
func TestPacer(t *testing.T) {
	p := Pacer{FullRate: 1000, MinShare: 0.25, RiseTime: 2 * time.Second}
	assert.Equal(t, p.Rate(testStart, 0, 8), 1000.0)
	assert.Equal(t, p.Rate(testStart, 4, 8), 625.0)
	assert.Equal(t, p.Rate(testStart, 8, 8), 250.0)
	assert.Equal(t, p.Rate(testStart, 80, 8), 250.0)
	assert.Equal(t, p.Rate(testStart.Add(time.Second), 0, 8), 750.0)
	assert.Equal(t, p.Rate(testStart.Add(2*time.Second), 0, 8), 1000.0)
}
