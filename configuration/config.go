package configuration

import (
	"log/slog"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// DocumentKey is the key of the configuration document.
const DocumentKey = "configuration"

const (
	defaultCallTimeout  = 2 * time.Second
	defaultWatchTimeout = time.Minute
	maxAttempts         = 32
)

// Config configures a Store.
type Config struct {
	KeyValue backing.KeyValue
	Clock    Clock
	// PeerGeneration returns the highest generation that peers announced. It
	// keeps a node from committing on top of an older document of a restored
	// service while peers know a newer one. nil means that no peer is known.
	PeerGeneration func() core.Generation
	// Logger is slog.Default by default.
	Logger *slog.Logger
	// CallTimeout bounds each call other than a watch, 2 s by default.
	CallTimeout time.Duration
	// WatchTimeout is how long a watch may be silent before it is renewed,
	// 1 min by default.
	WatchTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.Clock = c.Clock.withDefaults()
	if c.PeerGeneration == nil {
		c.PeerGeneration = func() core.Generation { return 0 }
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.WatchTimeout <= 0 {
		c.WatchTimeout = defaultWatchTimeout
	}
	return c
}
