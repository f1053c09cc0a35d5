package routing

import "time"

const (
	defaultInitialServiceTime = time.Second
	defaultMaxSuspectWait     = 250 * time.Millisecond
	defaultMaxPreemptions     = 3
)

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Slots is how many calls the endpoint runs at the same time.
	Slots    int
	Policies Policies
	// MaxWaiting bounds the waiting calls; 0 means no limit.
	MaxWaiting int
	// InitialServiceTime is the value from which the moving average of the
	// service time starts; 1 s by default.
	InitialServiceTime time.Duration
	// QueueAhead is how many calls of each rank may wait beyond the free
	// slots when credits are granted; half of Slots by default.
	QueueAhead int
	// ReportInterval is the time between load reports. Credits cover the
	// calls that may start in the meantime.
	ReportInterval time.Duration
	// MaxSuspectWait is how long a suspect waits for the endpoint to become
	// idle before no other call may start; 250 ms by default. The wait restarts
	// when a suspect ends, so that other calls run between two suspects.
	MaxSuspectWait time.Duration
	// MaxPreemptions bounds how often one call is preempted; 3 by default.
	MaxPreemptions int
}

func (c QueueConfig) withDefaults() QueueConfig {
	if c.InitialServiceTime <= 0 {
		c.InitialServiceTime = defaultInitialServiceTime
	}
	if c.QueueAhead <= 0 {
		c.QueueAhead = max(c.Slots/2, 1)
	}
	if c.MaxSuspectWait <= 0 {
		c.MaxSuspectWait = defaultMaxSuspectWait
	}
	if c.MaxPreemptions <= 0 {
		c.MaxPreemptions = defaultMaxPreemptions
	}
	return c
}
