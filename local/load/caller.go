package load

import (
	"context"
	"sync"
	"time"

	"github.com/snipestep/snipestep/local/wait"
)

const (
	maxRetryAfter = 2 * time.Second
	overlapDelay  = 5 * time.Millisecond
	crashPause    = 500 * time.Millisecond
	crashSends    = 4
)

// caller carries one arrival to its end, resends included.
type caller struct {
	client   *client
	recorder *recorder
}

// run blocks until the caller has its last answer or ctx ends.
func (c *caller) run(ctx context.Context, arrival *Arrival, due time.Time) {
	first := c.client.balancer.pick()
	var sends []result
	switch {
	case arrival.Class == ClassCrash:
		sends = c.sendCrash(ctx, arrival, first)
	case arrival.Class == ClassPurchase && arrival.Resend:
		sends = c.sendPurchaseTwice(ctx, arrival, first)
	default:
		sends = c.sendModelOrOnce(ctx, arrival, first)
	}
	c.recorder.record(arrival, due, sends)
}

// sendModelOrOnce sends once more, through another entry and after the time
// that the refusal asks for, when the scenario says so.
func (c *caller) sendModelOrOnce(ctx context.Context, arrival *Arrival, first int) []result {
	sent := c.client.send(ctx, arrival, first)
	if sent.outcome == OutcomeAnswered || !arrival.Resend {
		return []result{sent}
	}
	if !wait.For(ctx, min(sent.retryAfter, maxRetryAfter)) {
		return []result{sent}
	}
	return []result{sent, c.client.send(ctx, arrival, c.client.balancer.other(first, 1))}
}

// sendPurchaseTwice sends the same key through two entries, at once or one
// after the other, whatever the first answer is.
func (c *caller) sendPurchaseTwice(ctx context.Context, arrival *Arrival, first int) []result {
	other := c.client.balancer.other(first, 1)
	sends := make([]result, 2)
	if !arrival.Overlap {
		sends[0] = c.client.send(ctx, arrival, first)
		sends[1] = c.client.send(ctx, arrival, other)
		return sends
	}
	var group sync.WaitGroup
	group.Go(func() { sends[0] = c.client.send(ctx, arrival, first) })
	wait.For(ctx, overlapDelay)
	sends[1] = c.client.send(ctx, arrival, other)
	group.Wait()
	return sends
}

// sendCrash sends the same request again after each end.
func (c *caller) sendCrash(ctx context.Context, arrival *Arrival, first int) []result {
	var sends []result
	for i := range crashSends {
		sends = append(sends, c.client.send(ctx, arrival, c.client.balancer.other(first, i)))
		if !wait.For(ctx, crashPause) {
			break
		}
	}
	return sends
}
