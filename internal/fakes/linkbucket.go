package fakes

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
	// maxStepBytes is the most that is paid for at once.
	maxStepBytes = 64 << 10
	minStepBytes = 4 << 10
	// stepTime bounds the time that a step takes on a slow link.
	stepTime = 5 * time.Millisecond
	// burstTime is the traffic that a link lets through after a pause.
	burstTime = 3 * time.Millisecond
)

// linkBucket is one direction of a link: a token bucket of bytes and a count.
type linkBucket struct {
	bytes byteCounter
	step  int

	// mu keeps the limiter's times in order: it takes an earlier time for
	// a clock that was set back.
	mu      sync.Mutex
	limiter *rate.Limiter // nil is no limit.
}

func newLinkBucket(mbps float64) *linkBucket {
	if mbps <= 0 {
		return &linkBucket{step: maxStepBytes}
	}
	perSecond := mbps * bitsPerMegabit / bitsPerByte
	step := min(maxStepBytes, max(minStepBytes, int(perSecond*stepTime.Seconds())))
	burst := max(step, int(perSecond*burstTime.Seconds()))
	return &linkBucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), step: step}
}

// pay takes the bytes from the bucket and returns how long they wait.
func (b *linkBucket) pay(clock Clock, class TrafficClass, bytes int) time.Duration {
	b.bytes.add(class, bytes)
	if b.limiter == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock()
	return b.limiter.ReserveN(now, bytes).DelayFrom(now)
}
