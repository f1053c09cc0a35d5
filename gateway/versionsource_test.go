package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against lines that leave open whether a version came from a report or from the
// endpoint list.
func TestLinesOfARequestHaveTheSourceOfTheVersion(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	ended := f.requestEnd(t)
	assert.Equal(t, ended["outcome"], "refused")
	assert.Equal(t, ended["version_source"], nil, "no endpoint was chosen")
	f.listEndpoint(t, 1, resetConnection)
	ended = f.requestEnd(t)
	assert.Equal(t, ended["version_source"], string(admission.VersionFromReport))
	failed := f.log.lines(t, "attempt failed")
	assert.Equal(t, len(failed), 1)
	assert.Equal(t, failed[0]["version_source"], string(admission.VersionFromReport))
}
