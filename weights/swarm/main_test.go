package swarm

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine of a node outlives it. The pools that gnet starts
// with the process stay.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}
