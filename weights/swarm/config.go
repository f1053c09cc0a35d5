package swarm

import (
	"time"

	"github.com/snipestep/snipestep/weights"
)

// Config configures a Node. Zero limits take their defaults.
type Config struct {
	Self         Peer
	OriginRegion string
	// Seed varies the random choices between nodes and runs.
	Seed uint64

	// Picker overrides the limits of chunk selection; the node sets its
	// identity fields.
	Picker weights.PickerConfig
	// Uploads overrides the limits of uploads.
	Uploads weights.UploadLimits
	// RateBytes limits what the node receives, in bytes per second; 0 means no
	// limit.
	RateBytes float64
	// SendBytesPerSecond limits what the node sends to peers; 0 means no limit.
	SendBytesPerSecond float64
	// BusySendShare is the fraction of SendBytesPerSecond allowed while the
	// instance runs inference requests.
	BusySendShare float64
	// MinRateShare is the fraction of RateBytes allowed while every slot of the
	// instance is in use.
	MinRateShare float64

	// MaxConns limits the open connections of the server.
	MaxConns int
	// MaxRequestsPerConn limits the open requests of one connection.
	MaxRequestsPerConn int
	// HandshakeTimeout limits dialling and authentication together.
	HandshakeTimeout time.Duration
	// StallTimeout is how long a connection may deliver no bytes before it is
	// closed.
	StallTimeout time.Duration
	// PingInterval is the interval between pings; it must be well under
	// StallTimeout.
	PingInterval time.Duration
	// PendingRequestTimeout is how long the server keeps a request for a chunk
	// that is not stored yet.
	PendingRequestTimeout time.Duration
	// HaveInterval is the minimum interval between announcements.
	HaveInterval time.Duration
	// HaveDelay is the delay before all peers are notified of a new chunk; a
	// few are notified earlier.
	HaveDelay time.Duration
	// SourceTimeout limits one fetch from the origin or the store.
	SourceTimeout time.Duration
	// TickInterval is the interval at which a transfer checks its targets and
	// connections and reconsiders timed decisions.
	TickInterval time.Duration
}

func (c *Config) setDefaults() {
	setDefault(&c.MinRateShare, 0.25)
	setDefault(&c.BusySendShare, 1)
	setDefault(&c.MaxConns, 256)
	setDefault(&c.MaxRequestsPerConn, 64)
	setDefault(&c.HandshakeTimeout, 2*time.Second)
	setDefault(&c.StallTimeout, 1200*time.Millisecond)
	setDefault(&c.PingInterval, 300*time.Millisecond)
	setDefault(&c.PendingRequestTimeout, time.Second)
	setDefault(&c.HaveInterval, 5*time.Millisecond)
	setDefault(&c.HaveDelay, 250*time.Millisecond)
	setDefault(&c.SourceTimeout, 5*time.Second)
	setDefault(&c.TickInterval, 50*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
