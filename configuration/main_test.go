package configuration_test

import (
	"os"
	"testing"
	"time"

	"github.com/snipestep/snipestep/internal/rapidseed"
)

// TestMain fixes rapid's seed.
func TestMain(m *testing.M) {
	rapidseed.Fix()
	os.Exit(m.Run())
}

// fireAtOnce is a Clock.After that never waits.
func fireAtOnce(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- time.Time{}
	return fired
}
