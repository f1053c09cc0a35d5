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
	var results []sendResult
	switch {
	case arrival.Class == ClassCrash:
		results = c.sendCrash(ctx, arrival, firstEntry)
	case arrival.Class == ClassPurchase && arrival.Resend:
		results = c.sendPurchaseTwice(ctx, arrival, firstEntry)
	default:
		results = c.sendWithResend(ctx, arrival, firstEntry)
	}
	c.recorder.record(arrival, due, results)
}

// sendWithResend sends a call and, if it is not answered and Resend is set, sends it
// to another entry after the retry delay of the refusal.
func (c *caller) sendWithResend(ctx context.Context, arrival *Arrival, firstEntry int) []sendResult {
	first := c.client.send(ctx, arrival, firstEntry)
	if first.outcome == OutcomeAnswered || !arrival.Resend {
		return []sendResult{first}
	}
	if !wait.For(ctx, min(first.retryAfter, maxRetryAfter)) {
		return []sendResult{first}
	}
	return []sendResult{first, c.client.send(ctx, arrival, c.client.balancer.resendEntry(firstEntry, 1))}
}

// sendPurchaseTwice sends the same idempotency key to two entries, concurrently
// or one after the other, whatever the first response is.
func (c *caller) sendPurchaseTwice(ctx context.Context, arrival *Arrival, firstEntry int) []sendResult {
	secondEntry := c.client.balancer.resendEntry(firstEntry, 1)
	results := make([]sendResult, 2)
	if !arrival.Overlap {
		results[0] = c.client.send(ctx, arrival, firstEntry)
		results[1] = c.client.send(ctx, arrival, secondEntry)
		return results
	}
	var firstSend sync.WaitGroup
	firstSend.Go(func() { results[0] = c.client.send(ctx, arrival, firstEntry) })
	wait.For(ctx, overlapDelay)
	results[1] = c.client.send(ctx, arrival, secondEntry)
	firstSend.Wait()
	return results
}

// sendCrash sends the same request repeatedly, each time after the previous one
// has ended.
func (c *caller) sendCrash(ctx context.Context, arrival *Arrival, firstEntry int) []sendResult {
	var results []sendResult
	for i := range crashSends {
		results = append(results, c.client.send(ctx, arrival, c.client.balancer.resendEntry(firstEntry, i)))
		if !wait.For(ctx, crashResendDelay) {
			break
		}
	}
	return results
}
