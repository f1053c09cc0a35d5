package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/local/scenario"
	"github.com/snipestep/snipestep/settings"
)

func TestPatienceOutlastsAnOutage(t *testing.T) {
	quiet := scenario.Faults{StoreDownFrom: settings.UnsetDuration, StoreDownFor: settings.UnsetDuration}
	assert.Equal(t, patience(quiet), confirmTime)
	down := scenario.Faults{StoreDownFrom: time.Second, StoreDownFor: time.Minute}
	assert.Equal(t, patience(down), time.Minute+confirmTime)
}
