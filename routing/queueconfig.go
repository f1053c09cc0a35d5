package routing

import "time"

const (
	defaultServiceEstimate = time.Second
	defaultSuspectHold     = 250 * time.Millisecond
	defaultMaxYields       = 3
)

// QueueConfig sets the policy of a Queue.
type QueueConfig struct {
	// Slots is how many calls the endpoint runs at the same time.
	Slots    int
	Policies Policies
	// MaxWaiting bounds the waiting calls; 0 stands for no bound.
	MaxWaiting int
	// ServiceEstimate is taken as the mean service time until one is
	// measured; 1 s by default.
	ServiceEstimate time.Duration
	// QueueAhead is how many calls of each rank may wait beyond the free
	// slots when credits are granted; half of Slots by default.
	QueueAhead int
	// ReportInterval is the time between two load reports. Credits cover
	// the calls that may start meanwhile.
	ReportInterval time.Duration
	// SuspectHold is how long a suspect waits for a pause in other work
	// before other calls are held back for it; 250 ms by default.
	SuspectHold time.Duration
	// MaxYields is how often one call may be preempted; 3 by default.
	MaxYields int
}

func (c QueueConfig) withDefaults() QueueConfig {
	if c.ServiceEstimate <= 0 {
		c.ServiceEstimate = defaultServiceEstimate
	}
	if c.QueueAhead <= 0 {
		c.QueueAhead = max(c.Slots/2, 1)
	}
	if c.SuspectHold <= 0 {
		c.SuspectHold = defaultSuspectHold
	}
	if c.MaxYields <= 0 {
		c.MaxYields = defaultMaxYields
	}
	return c
}
