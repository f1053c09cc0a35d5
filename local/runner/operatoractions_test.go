package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/local/scenario"
	"github.com/snipestep/snipestep/settings"
)

func TestRetryTimeoutOutlastsOutage(t *testing.T) {
	withoutOutage := scenario.Faults{StoreDownFrom: settings.UnsetDuration, StoreDownFor: settings.UnsetDuration}
	assert.Equal(t, retryTimeout(withoutOutage), baseRetryTimeout)
	withOutage := scenario.Faults{StoreDownFrom: time.Second, StoreDownFor: time.Minute}
	assert.Equal(t, retryTimeout(withOutage), time.Minute+baseRetryTimeout)
}
