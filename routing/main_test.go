package routing

import (
	"os"
	"testing"

	"github.com/snipestep/snipestep/internal/rapidseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}
