package settings_test

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/settings"
)

func TestExamplesLoad(t *testing.T) {
	paths, err := filepath.Glob("../examples/*/*.ini")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 8)
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "entry") {
			entry, err := settings.LoadEntry(path)
			assert.NilError(t, err)
			assert.Equal(t, len(entry.InitialDocument.Organisations), 10)
			assert.Equal(t, len(entry.InitialDocument.Ranks), core.RankCount)
			continue
		}
		_, err := settings.LoadAgent(path)
		assert.NilError(t, err)
	}
}
