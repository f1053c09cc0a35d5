package swarm

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/snipestep/snipestep/weights"
)

const (
	// rateAdjustInterval is the minimum interval between rate adjustments.
	rateAdjustInterval = 100 * time.Millisecond
	// receiveBurstBytes is the burst size of the rate limiter.
	receiveBurstBytes = 4 * maxReadBytes
	// rateRiseTime is how long the rate takes to rise from zero to its maximum.
	rateRiseTime = 2 * time.Second
)

// receivePacer limits the receive rate of a node, depending on the inference
// requests that its instance runs.
type receivePacer struct {
	limiter    *rate.Limiter
	pacer      weights.Pacer
	adjustedAt time.Time
}

func newReceivePacer(cfg *Config) *receivePacer {
	return &receivePacer{
		limiter: rate.NewLimiter(rate.Limit(cfg.RateBytes), receiveBurstBytes),
		pacer:   weights.Pacer{FullRate: cfg.RateBytes, MinShare: cfg.MinRateShare, RiseTime: rateRiseTime},
	}
}

// paceReceive blocks until the rate limiter admits the received bytes.
func (n *Node) paceReceive(ctx context.Context, bytes int) error {
	if n.cfg.RateBytes == 0 {
		return nil
	}
	n.adjustReceiveRate(time.Now())
	for bytes > 0 {
		count := min(bytes, receiveBurstBytes)
		if err := n.receivePacer.limiter.WaitN(ctx, count); err != nil {
			return err
		}
		bytes -= count
	}
	return nil
}

func (n *Node) adjustReceiveRate(now time.Time) {
	n.receivePacerMu.Lock()
	defer n.receivePacerMu.Unlock()
	if now.Sub(n.receivePacer.adjustedAt) < rateAdjustInterval {
		return
	}
	n.receivePacer.adjustedAt = now
	running, slots := n.deps.InferenceLoad()
	n.receivePacer.limiter.SetLimit(rate.Limit(n.receivePacer.pacer.Rate(now, running, slots)))
}
