package loadreport_test

import (
	"os"
	"testing"

	"github.com/snipestep/snipestep/internal/rapidseed"
)

// TestMain fixes rapid's seed.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}
