package fakes

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
	// maxSegmentBytes limits one reservation.
	maxSegmentBytes = 64 << 10
	minSegmentBytes = 4 << 10
	// targetSegmentTime limits the time that a segment takes on a slow link.
	targetSegmentTime = 5 * time.Millisecond
	// burstDuration is the burst of a link after a pause, as a time at its rate.
	burstDuration = 3 * time.Millisecond
)

// linkBucket is one direction of a link: a token bucket of bytes and byte counts.
type linkBucket struct {
	traffic      byteCounter
	segmentBytes int

	// mu keeps the times passed to the limiter in order: the limiter takes an
	// earlier time for a clock that was set back.
	mu      sync.Mutex
	limiter *rate.Limiter // Nil without a limit.
}

func newLinkBucket(mbps float64) *linkBucket {
	if mbps <= 0 {
		return &linkBucket{segmentBytes: maxSegmentBytes}
	}
	bytesPerSecond := mbps * bitsPerMegabit / bitsPerByte
	segmentBytes := min(maxSegmentBytes, max(minSegmentBytes, int(bytesPerSecond*targetSegmentTime.Seconds())))
	burstBytes := max(segmentBytes, int(bytesPerSecond*burstDuration.Seconds()))
	return &linkBucket{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes), segmentBytes: segmentBytes}
}

// reserve takes the bytes from the bucket and returns the delay until they may
// pass.
func (b *linkBucket) reserve(clock Clock, class TrafficClass, bytes int) time.Duration {
	b.traffic.add(class, bytes)
	if b.limiter == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock()
	return b.limiter.ReserveN(now, bytes).DelayFrom(now)
}
