package swarm

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/snipestep/snipestep/weights"
)

const (
	// paceInterval is the pause between changes of the pace.
	paceInterval = 100 * time.Millisecond
	// paceBurst is the number of bytes that may arrive at once.
	paceBurst = 4 * readStep
	// paceRiseTime is how long the pace takes to rise from nothing to full.
	paceRiseTime = 2 * time.Second
)

// pacing limits what a node receives while calls run on its instance.
type pacing struct {
	limiter *rate.Limiter
	pacer   weights.Pacer
	changed time.Time
}

func newPacing(cfg *Config) *pacing {
	return &pacing{
		limiter: rate.NewLimiter(rate.Limit(cfg.RateBytes), paceBurst),
		pacer:   weights.Pacer{FullRate: cfg.RateBytes, MinShare: cfg.MinRateShare, RiseTime: paceRiseTime},
	}
}

// pace blocks until n more received bytes are within the pace.
func (n *Node) pace(ctx context.Context, bytes int) error {
	if n.cfg.RateBytes == 0 {
		return nil
	}
	n.adjustPace(time.Now())
	for bytes > 0 {
		step := min(bytes, paceBurst)
		if err := n.pacing.limiter.WaitN(ctx, step); err != nil {
			return err
		}
		bytes -= step
	}
	return nil
}

func (n *Node) adjustPace(now time.Time) {
	n.paceMu.Lock()
	defer n.paceMu.Unlock()
	if now.Sub(n.pacing.changed) < paceInterval {
		return
	}
	n.pacing.changed = now
	running, slots := n.deps.RequestLoad()
	n.pacing.limiter.SetLimit(rate.Limit(n.pacing.pacer.Rate(now, running, slots)))
}
