package swarm

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine outlives its node. The pools that gnet
// starts with the process are ignored.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}
