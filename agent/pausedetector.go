package agent

import (
	"context"
	"sync"
	"time"
)

const (
	pauseTickInterval = 50 * time.Millisecond
	// minPause is the time between two ticks above which the process counts as paused: several times
	// what a busy processor delays them.
	minPause = 300 * time.Millisecond
	// afterPause is how long after a pause the process may still read what arrived during it.
	afterPause = time.Second
)

// pauseDetector finds out whether the process was paused, alone or with its instance. It is safe for
// concurrent use.
type pauseDetector struct {
	now clock

	mu sync.Mutex
	// tickedAt is the time of the last tick, resumedAt that of the last one after a pause.
	tickedAt, resumedAt time.Time
}

// run ticks until ctx ends.
func (d *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(pauseTickInterval)
	defer ticker.Stop()
	for {
		d.tick(d.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *pauseDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > minPause {
		d.resumedAt = now
	}
	d.tickedAt = now
}

// pausedLately reports whether what is read now may have arrived during a pause.
func (d *pauseDetector) pausedLately() bool {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.tickedAt.IsZero() && (now.Sub(d.tickedAt) > minPause || (!d.resumedAt.IsZero() && now.Sub(d.resumedAt) < afterPause))
}
