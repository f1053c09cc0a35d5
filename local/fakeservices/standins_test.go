package fakeservices

import (
	"io"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/settings"
)

func TestWrittenSettingsLoad(t *testing.T) {
	options := Options{Dir: t.TempDir(), Network: 1, Entries: 2, Models: 2, Plains: 1, Progress: io.Discard}
	for _, instance := range layout(options) {
		path, err := writeSettings(options.Dir, instance)
		assert.NilError(t, err)
		assert.Equal(t, filepath.Dir(path), options.Dir)
		if instance.Role == core.RoleEntry {
			got, err := settings.LoadEntry(path)
			assert.NilError(t, err)
			assert.DeepEqual(t, got.Instance, instance.Instance)
			continue
		}
		got, err := settings.LoadAgent(path)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Instance, instance.Instance)
	}
}
