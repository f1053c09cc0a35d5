package loadreport_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

func TestRemoteIntervalGrowsWithTheFleetWithinItsBounds(t *testing.T) {
	interval := func(near, remote int) time.Duration {
		return loadreport.RemoteInterval(near, remote, loadreport.PollInterval, loadreport.RefreshInterval)
	}
	assert.Equal(t, interval(100, 300), loadreport.RefreshInterval)
	assert.Equal(t, interval(0, 1), loadreport.PollInterval)
	assert.Assert(t, interval(5, 10) > loadreport.PollInterval && interval(5, 10) < loadreport.RefreshInterval, "%v", interval(5, 10))
}
