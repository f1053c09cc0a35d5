package settings_test

import (
	"testing"

	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/settings"
)

// The page is part of the documentation, hence outside testdata.
func TestReferencePage(t *testing.T) {
	golden.Assert(t, settings.Reference(), "../../docs/settings.md")
}
