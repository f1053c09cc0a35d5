// Package delay provides a sleep that ends with its context.
package delay

import (
	"context"
	"time"
)

// For blocks for d, or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
