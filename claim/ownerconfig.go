package claim

import (
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/internal/bootclock"
)

const (
	// DefaultTTL is how long a claim holds its key.
	DefaultTTL = 10 * time.Minute
	// DefaultBatchInterval is the least time between two writes of a shard.
	DefaultBatchInterval = 50 * time.Millisecond

	defaultClockSkew    = time.Minute
	defaultStoreTimeout = time.Second
	defaultMaxKeys      = 1 << 16
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Shard    int
	KeyValue backing.KeyValue
	// BatchInterval is the least time between two writes;
	// DefaultBatchInterval if 0.
	BatchInterval time.Duration
	// TTL is how long a claim holds its key, from when it was made;
	// DefaultTTL if 0. It must be equal at all owners. A granted call must
	// end within half of it.
	TTL time.Duration
	// ClockSkew is the greatest difference between the clocks of owners; 1
	// min if 0. Log entries are kept that much longer than TTL.
	ClockSkew time.Duration
	// StoreTimeout bounds each call of the key-value service; 1 s if 0.
	StoreTimeout time.Duration
	// MaxKeys bounds the keys held at a time; 65,536 if 0. Claims of more
	// keys are refused.
	MaxKeys int
	// Now returns the wall-clock time; time.Now if nil.
	Now func() time.Time
	// BootNow measures the age of the owner's view of the log; bootclock.Now if nil.
	// Other owners go on while this one's machine is suspended.
	BootNow func() time.Time
	// NewID returns a unique identifier; a random UUID if nil.
	NewID  func() string
	Logger *slog.Logger
}

func (c OwnerConfig) withDefaults() OwnerConfig {
	if c.BatchInterval <= 0 {
		c.BatchInterval = DefaultBatchInterval
	}
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	if c.ClockSkew <= 0 {
		c.ClockSkew = defaultClockSkew
	}
	if c.StoreTimeout <= 0 {
		c.StoreTimeout = defaultStoreTimeout
	}
	if c.MaxKeys <= 0 {
		c.MaxKeys = defaultMaxKeys
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.BootNow == nil {
		c.BootNow = bootclock.Now
	}
	if c.NewID == nil {
		c.NewID = uuid.NewString
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}
