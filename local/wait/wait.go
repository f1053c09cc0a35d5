package wait

import (
	"context"
	"time"
)

// For blocks for a duration; it returns false if ctx ends first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
