package entry

import (
	"flag"
	"os"
	"testing"

	"github.com/snipestep/snipestep/internal/rapidseed"
)

// The number of rapid checks and steps in a stateful test of a complete fleet.
const (
	defaultChecks = "100" // The default of rapid.
	fleetChecks   = "8"
	fuzzChecks    = "30"
	fleetSteps    = "20"
)

// TestMain fixes the seed unless the command line asks for more checks than usual,
// and sets the number of checks and steps.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	checks := fuzzChecks
	if flag.Lookup("rapid.checks").Value.String() == defaultChecks {
		checks = fleetChecks
	}
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.steps", fleetSteps)
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
