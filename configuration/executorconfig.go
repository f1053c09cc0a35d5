package configuration

import (
	"log/slog"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

const (
	// ExecutorKey is the key that the executor holds under its lease.
	ExecutorKey = "executor"
	// FenceKey is the key of the highest fencing number given out.
	FenceKey = "executor-fence"
)

const (
	defaultLeaseTTL     = 6 * time.Second
	defaultLeaseMargin  = time.Second
	defaultElectionWait = time.Second
	keepAlivesPerTTL    = 3
	revokeTimeout       = time.Second
)

// ExecutorConfig holds what an Executor needs.
type ExecutorConfig struct {
	KeyValue backing.KeyValue
	Clock    Clock
	// Holder names this entry and its process, e.g. instance and incarnation.
	Holder string
	// TTL is the length of the lease, 6 s by default.
	TTL time.Duration
	// Margin is how long before the lease's end a Tenure counts as over, 1 s
	// by default.
	Margin time.Duration
	// ElectionWait bounds the random wait before a vacant lease is tried for,
	// 1 s by default.
	ElectionWait time.Duration
	// Random returns numbers from 0 to below 1; math/rand/v2 by default.
	Random func() float64
	// MinFence returns the highest fencing number that agents reported. A
	// restored service may have forgotten it. nil means 0.
	MinFence    func() core.Fence
	CallTimeout time.Duration
	Logger      *slog.Logger
}

func (c ExecutorConfig) withDefaults() ExecutorConfig {
	c.Clock = c.Clock.withDefaults()
	if c.TTL <= 0 {
		c.TTL = defaultLeaseTTL
	}
	if c.Margin <= 0 {
		c.Margin = min(defaultLeaseMargin, c.TTL/keepAlivesPerTTL)
	}
	if c.ElectionWait <= 0 {
		c.ElectionWait = defaultElectionWait
	}
	if c.Random == nil {
		c.Random = randomFraction
	}
	if c.MinFence == nil {
		c.MinFence = func() core.Fence { return 0 }
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return c
}
