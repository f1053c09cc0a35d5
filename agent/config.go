package agent

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
)

// Config configures an agent. Zero durations and counts mean the defaults.
type Config struct {
	Instance core.Instance
	// Incarnation grows with each start of the process; 0 means the current time
	// in nanoseconds.
	Incarnation uint64
	FleetKey    []byte
	// ChecksFencing says whether the endpoint refuses stale fencing numbers.
	ChecksFencing bool
	// Slots is the number of calls that the endpoint runs concurrently.
	Slots int
	// MaxWaiting limits the calls waiting in the queue.
	MaxWaiting   int
	OriginRegion string
	Policy       string
	// ShutdownGrace limits the wait for running calls when the agent stops.
	ShutdownGrace time.Duration
	// IdleFetchBytesPerSecond limits the rate at which weights are fetched while
	// no call runs; 0 means no limit at any time.
	IdleFetchBytesPerSecond float64
	// BusyFetchBytesPerSecond limits the rate while every slot is in use; 0 means
	// the default share of IdleFetchBytesPerSecond, see swarm.Config.MinRateShare.
	BusyFetchBytesPerSecond float64
	// AnswerBytes limits the memory for the answers of all calls together.
	AnswerBytes int
	// Seed seeds the random choices of weight transfers.
	Seed uint64
}

const (
	defaultSlots         = 8
	defaultMaxWaiting    = 128
	defaultShutdownGrace = 30 * time.Second
)

func (c Config) withDefaults(now time.Time) Config {
	if c.Incarnation == 0 {
		c.Incarnation = uint64(now.UnixNano())
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.ShutdownGrace == 0 {
		c.ShutdownGrace = defaultShutdownGrace
	}
	if c.AnswerBytes == 0 {
		c.AnswerBytes = heldbytes.DefaultLimit
	}
	if c.Policy == "" {
		c.Policy = core.PolicySnipestep
	}
	return c
}

// busyFetchShare returns the fraction of IdleFetchBytesPerSecond that remains
// while every slot is in use.
func (c Config) busyFetchShare() float64 {
	if c.IdleFetchBytesPerSecond <= 0 || c.BusyFetchBytesPerSecond <= 0 {
		return 0
	}
	return min(1, c.BusyFetchBytesPerSecond/c.IdleFetchBytesPerSecond)
}
