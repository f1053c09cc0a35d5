//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// consumer sends requests to entries and keeps what became of them.
type consumer struct {
	bench  *bench
	client *http.Client
	nextID atomic.Uint64

	mu   sync.Mutex
	sent []*sentRequest
}

// sentRequest is a request of a consumer and its answer.
type sentRequest struct {
	id, kind, entry string
	sentAt, endedAt time.Time
	status          int // 0 without an answer.
	header          http.Header
	body            string
	err             error
}

func newConsumer(b *bench) *consumer {
	return &consumer{bench: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// request says what to send.
type request struct {
	kind, entry, method, host, path, key, body string
	deadline                                   time.Duration
	header                                     map[string]string
}

// send sends a request and waits for its end.
func (c *consumer) send(ctx context.Context, r request) *sentRequest {
	sent := &sentRequest{id: fmt.Sprintf("%016x", c.nextID.Add(1)), kind: r.kind, entry: r.entry, sentAt: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, sent)
	c.mu.Unlock()
	c.bench.record.say("consumer", "sends %s (%s) to %s", sent.id, r.kind, r.entry)
	sent.err = c.do(ctx, r, sent)
	sent.endedAt = time.Now()
	c.bench.record.say("consumer", "%s (%s): status %d, error %v, %d bytes, after %d ms", sent.id, r.kind, sent.status, sent.err, len(sent.body), sent.endedAt.Sub(sent.sentAt).Milliseconds())
	return sent
}

func (c *consumer) do(ctx context.Context, r request, sent *sentRequest) error {
	ctx, cancel := context.WithTimeout(ctx, r.deadline+time.Second)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.entry+r.path, strings.NewReader(r.body))
	if err != nil {
		return err
	}
	httpRequest.Host = r.host
	httpRequest.Header.Set("Snipestep-Attempt-Id", sent.id)
	httpRequest.Header.Set("Snipestep-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	httpRequest.Header.Set("Authorization", "Token "+r.key)
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	sent.status, sent.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	sent.body = string(body)
	return err
}

// all returns the requests so far.
func (c *consumer) all() []*sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sentRequest(nil), c.sent...)
}

// repeat sends requests at an interval until ctx ends, and returns once all have ended.
func (c *consumer) repeat(ctx context.Context, interval time.Duration, next func() request) {
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			open.Go(func() { c.send(context.WithoutCancel(ctx), next()) })
		}
	}
}

// awaitReady waits until the entries say that they are ready.
func (b *bench) awaitReady(count int) error {
	deadline := time.Now().Add(20 * time.Second)
	for n := 1; n <= count; {
		response, err := http.Get("http://" + b.address(1, n, readyPort) + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n++
				continue
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("entry %d isn't ready: %v\n%s", n, err, b.log(fmt.Sprint("edge-", n)))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
