package configuration

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snipestep/snipestep/internal/bootclock"
)

const (
	backOffInitial = 100 * time.Millisecond
	backOffMax     = 2 * time.Second
	backOffFactor  = 2
	backOffJitter  = 0.5
)

// Clock tells the time and waits.
type Clock struct {
	// Now is bootclock.Now by default: leases run on while this instance is suspended,
	// and steps of the time of day do not move their end.
	Now func() time.Time
	// After is time.After by default.
	After func(time.Duration) <-chan time.Time
}

func (c Clock) withDefaults() Clock {
	if c.Now == nil {
		c.Now = bootclock.Now
	}
	if c.After == nil {
		c.After = time.After
	}
	return c
}

// wait blocks for d, or returns the context's error.
func (c Clock) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     backOffInitial,
		RandomizationFactor: backOffJitter,
		Multiplier:          backOffFactor,
		MaxInterval:         backOffMax,
	}
}
