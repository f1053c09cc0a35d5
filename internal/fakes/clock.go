package fakes

import (
	"context"
	"time"
)

// Clock returns the current time; nil is time.Now.
type Clock func() time.Time

// Sleep waits for a duration or until ctx ends and returns the error of ctx; nil
// waits in real time.
type Sleep func(ctx context.Context, duration time.Duration) error

func (c Clock) orSystem() Clock {
	if c == nil {
		return time.Now
	}
	return c
}

func (s Sleep) orSystem() Sleep {
	if s == nil {
		return sleep
	}
	return s
}

func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
