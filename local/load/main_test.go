package load_test

import (
	"os"
	"testing"

	"github.com/snipestep/snipestep/internal/rapidseed"
)

// TestMain sets a fixed seed for rapid.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}
