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
	// FenceKey is the key of the highest fencing number issued.
	FenceKey = "executor-fence"
)

const (
	defaultLeaseTTL         = 6 * time.Second
	defaultSafetyMargin     = time.Second
	defaultMaxElectionDelay = time.Second
	keepAlivesPerTTL        = 3
	revokeTimeout           = time.Second
)

// ElectionConfig configures an Election.
type ElectionConfig struct {
	KeyValue backing.KeyValue
	Clock    Clock
	// HolderID identifies this entry and its process, e.g. by instance and
	// incarnation.
	HolderID string
	// TTL is the length of the lease, 6 s by default.
	TTL time.Duration
	// SafetyMargin is how long before the end of the lease its holder stops
	// relying on it; by default 1 s, but at most a third of TTL.
	SafetyMargin time.Duration
	// MaxElectionDelay bounds the random delay before an attempt to acquire a
	// free lease, 1 s by default.
	MaxElectionDelay time.Duration
	// Random returns numbers in [0, 1); math/rand/v2 by default.
	Random func() float64
	// MinFence returns the highest fencing number that agents reported. A
	// restored service may hold a lower one. nil means 0.
	MinFence    func() core.Fence
	CallTimeout time.Duration
	Logger      *slog.Logger
}

func (c ElectionConfig) withDefaults() ElectionConfig {
	c.Clock = c.Clock.withDefaults()
	if c.TTL <= 0 {
		c.TTL = defaultLeaseTTL
	}
	if c.SafetyMargin <= 0 {
		c.SafetyMargin = min(defaultSafetyMargin, c.TTL/keepAlivesPerTTL)
	}
	if c.MaxElectionDelay <= 0 {
		c.MaxElectionDelay = defaultMaxElectionDelay
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
