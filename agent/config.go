package agent

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Config are the settings of an agent. Zero durations and counts get the
// defaults.
type Config struct {
	Instance core.Instance
	// Incarnation grows with each start of the process; 0 takes the clock.
	Incarnation uint64
	FleetKey    []byte
	// ChecksFencing says whether the endpoint refuses old fencing numbers.
	ChecksFencing bool
	// Slots is the number of calls that the endpoint runs at a time.
	Slots int
	// MaxWaiting bounds the calls waiting in the queue.
	MaxWaiting   int
	OriginRegion string
	Policy       string
	// LeaveGrace bounds the wait for running calls at a stop.
	LeaveGrace time.Duration
	// IdleFetchRate and BusyFetchRate bound the fetching of weights in bytes
	// a second, while no call runs and while every slot is in use; 0 for no
	// bound.
	IdleFetchRate float64
	BusyFetchRate float64
	// Seed fixes the random choices of the swarm.
	Seed uint64
}

const (
	defaultSlots      = 8
	defaultMaxWaiting = 128
	defaultLeaveGrace = 30 * time.Second
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
	if c.LeaveGrace == 0 {
		c.LeaveGrace = defaultLeaveGrace
	}
	if c.Policy == "" {
		c.Policy = core.PolicySnipestep
	}
	return c
}

// busyFetchShare returns the part of IdleFetchRate left while every slot is in
// use.
func (c Config) busyFetchShare() float64 {
	if c.IdleFetchRate <= 0 || c.BusyFetchRate <= 0 {
		return 0
	}
	return min(1, c.BusyFetchRate/c.IdleFetchRate)
}
