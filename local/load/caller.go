package load

import (
	"context"
	"sync"
	"time"

	"github.com/snipestep/snipestep/local/wait"
)

const (
	maxRetryAfter    = 2 * time.Second
	overlapDelay     = 5 * time.Millisecond
	crashResendDelay = 500 * time.Millisecond
	crashSends       = 4
)

// caller sends the calls of arrivals, with their resends, and records the results.
type caller struct {
	client   *client
	recorder *recorder
}

// send blocks until the last response has arrived or ctx ends.
func (c *caller) send(ctx context.Context, arrival *Arrival, due time.Time) {
	firstEntry := c.client.balancer.next()
	var sends []result
	switch {
	case arrival.Class == ClassCrash:
		sends = c.sendCrash(ctx, arrival, firstEntry)
	case arrival.Class == ClassPurchase && arrival.Resend:
		sends = c.sendPurchaseTwice(ctx, arrival, firstEntry)
	default:
		sends = c.sendWithResend(ctx, arrival, firstEntry)
	}
	c.recorder.record(arrival, due, sends)
}

// sendWithResend sends a call and, if it is not answered and Resend is set, sends it
// to another entry after the retry delay of the refusal.
func (c *caller) sendWithResend(ctx context.Context, arrival *Arrival, firstEntry int) []result {
	sent := c.client.send(ctx, arrival, firstEntry)
	if sent.outcome == OutcomeAnswered || !arrival.Resend {
		return []result{sent}
	}
	if !wait.For(ctx, min(sent.retryAfter, maxRetryAfter)) {
		return []result{sent}
	}
	return []result{sent, c.client.send(ctx, arrival, c.client.balancer.resendEntry(firstEntry, 1))}
}

// sendPurchaseTwice sends the same idempotency key to two entries, concurrently
// or one after the other, whatever the first response is.
func (c *caller) sendPurchaseTwice(ctx context.Context, arrival *Arrival, firstEntry int) []result {
	secondEntry := c.client.balancer.resendEntry(firstEntry, 1)
	sends := make([]result, 2)
	if !arrival.Overlap {
		sends[0] = c.client.send(ctx, arrival, firstEntry)
		sends[1] = c.client.send(ctx, arrival, secondEntry)
		return sends
	}
	var firstSend sync.WaitGroup
	firstSend.Go(func() { sends[0] = c.client.send(ctx, arrival, firstEntry) })
	wait.For(ctx, overlapDelay)
	sends[1] = c.client.send(ctx, arrival, secondEntry)
	firstSend.Wait()
	return sends
}

// sendCrash sends the same request repeatedly, each time after the previous one
// has ended.
func (c *caller) sendCrash(ctx context.Context, arrival *Arrival, firstEntry int) []result {
	var sends []result
	for i := range crashSends {
		sends = append(sends, c.client.send(ctx, arrival, c.client.balancer.resendEntry(firstEntry, i)))
		if !wait.For(ctx, crashResendDelay) {
			break
		}
	}
	return sends
}
