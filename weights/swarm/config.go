package swarm

import (
	"time"

	"github.com/snipestep/snipestep/weights"
)

// Config configures a Node. Zero limits take their defaults.
type Config struct {
	Self         Peer
	OriginRegion string
	// Seed varies random choices between nodes and runs.
	Seed uint64

	// Picker overrides limits of chunk picking; its identity fields are
	// set by the node.
	Picker weights.PickerConfig
	// Uploads overrides limits of serving.
	Uploads weights.UploadLimits
	// RateBytes is the most that the node receives in bytes a second, 0 for
	// no limit.
	RateBytes float64
	// SendBytes is the most that the node sends to others in bytes a second, 0
	// for no limit.
	SendBytes float64
	// BusySendShare is the part of SendBytes left while requests run beside.
	BusySendShare float64
	// MinRateShare is the part of RateBytes left while every slot is in use.
	MinRateShare float64

	// MaxConns is the number of connections that the server accepts.
	MaxConns int
	// MaxRequests is the number of open requests of one connection.
	MaxRequests int
	// HandshakeTimeout bounds dialling and authentication.
	HandshakeTimeout time.Duration
	// StallTimeout is how long a connection may deliver no bytes.
	StallTimeout time.Duration
	// PingInterval is the pause between pings; well under StallTimeout.
	PingInterval time.Duration
	// WaitTimeout is how long the server keeps a request for a chunk that it
	// does not hold yet.
	WaitTimeout time.Duration
	// HaveInterval is the shortest pause between announcements.
	HaveInterval time.Duration
	// HaveDelay is the pause before all peers hear of a new chunk; a few
	// hear at once.
	HaveDelay time.Duration
	// SourceTimeout bounds one call to the origin or the store.
	SourceTimeout time.Duration
	// Tick is the pause between checks of timed decisions.
	Tick time.Duration
}

func (c *Config) setDefaults() {
	setDefault(&c.MinRateShare, 0.25)
	setDefault(&c.BusySendShare, 1)
	setDefault(&c.MaxConns, 256)
	setDefault(&c.MaxRequests, 64)
	setDefault(&c.HandshakeTimeout, 2*time.Second)
	setDefault(&c.StallTimeout, 1200*time.Millisecond)
	setDefault(&c.PingInterval, 300*time.Millisecond)
	setDefault(&c.WaitTimeout, time.Second)
	setDefault(&c.HaveInterval, 5*time.Millisecond)
	setDefault(&c.HaveDelay, 250*time.Millisecond)
	setDefault(&c.SourceTimeout, 5*time.Second)
	setDefault(&c.Tick, 50*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
