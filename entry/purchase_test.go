package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/problem"
)

// runGate blocks runs of plain services, after they have taken effect, until it
// is closed.
type runGate chan struct{}

func (g runGate) sleep(ctx context.Context, _ time.Duration) error {
	select {
	case <-g:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func withGate(gate runGate) func(*testFleet) {
	return func(f *testFleet) {
		f.plainConfig = func(c *fakes.PlainServiceConfig) {
			c.Sleep = gate.sleep
			c.ServiceTime = time.Millisecond
		}
	}
}

// purchase is the outcome of one send of a purchase.
type purchase struct {
	status    int
	body      string
	execution string // Set for refusals.
	code      string
}

func (p purchase) answered() bool { return p.status == http.StatusOK }

func purchaseBody(key string) string {
	return fmt.Sprintf(`{"stamps":3,"for":%q}`, key)
}

func purchaseResponse(key string) string {
	return string(fakes.PlainResponseBody("purchase", []byte(purchaseBody(key))))
}

func (f *testFleet) buy(entry int, key string) purchase {
	f.t.Helper()
	status, _, body := f.post(entry, "/v1/services/counter/purchase", purchaseBody(key), "Idempotency-Key", key)
	p := purchase{status: status, body: body}
	if !p.answered() {
		var refused problem.Problem
		assert.NilError(f.t, json.Unmarshal([]byte(body), &refused), body)
		p.execution, p.code = refused.Execution, refused.Code
	}
	return p
}

func (f *testFleet) purchaseRuns(key string) int {
	return f.runCounter.Runs("purchase", key, []byte(purchaseBody(key)))
}

// checkSends compares the counted runs with the responses to all sends of a
// purchase.
func (f *testFleet) checkSends(t assert.TestingT, key string, sends []purchase) {
	runs := f.purchaseRuns(key)
	assert.Assert(t, runs <= 1, "%s ran %d times", key, runs)
	if runs == 0 {
		for _, p := range sends {
			assert.Assert(t, !p.answered(), "%s was answered but has not run", key)
		}
		return
	}
	reported := false
	for _, p := range sends {
		if p.answered() {
			assert.Equal(t, p.body, purchaseResponse(key))
		}
		reported = reported || p.answered() || p.execution == problem.ExecutionUnknown
	}
	assert.Assert(t, reported, "%s ran, but every send was refused as not-run: %v", key, sends)
}

// awaitCounterEndpoints blocks until an entry can send to n replicas of the
// counter.
func (f *testFleet) awaitCounterEndpoints(entry, n int) {
	f.t.Helper()
	f.waitUntil("endpoints of the counter", func() bool {
		return f.entries[entry].routes.countEndpoints("counter") >= n
	})
}

func (r *routes) countEndpoints(service string) int {
	n := 0
	table := r.table.Load()
	for i := range table.Len() {
		if e := table.Endpoint(i); e.Service == service && !e.Draining && !e.Leaving {
			n++
		}
	}
	return n
}

func TestPurchaseResentElsewhereWhileItRuns(t *testing.T) {
	gate := make(runGate)
	f := newTestFleet(t, 0, 2, 2, withGate(gate))
	f.awaitAgents()
	f.awaitCounterEndpoints(0, 2)
	first := make(chan purchase)
	go func() { first <- f.buy(0, "k") }()
	f.waitUntil("the purchase runs", func() bool { return f.purchaseRuns("k") == 1 })
	resent := f.buy(1, "k")
	assert.Equal(t, resent.code, CodeClaimHeld, resent.body)
	assert.Equal(t, resent.execution, problem.ExecutionUnknown)
	close(gate)
	assert.Equal(t, (<-first).body, purchaseResponse("k"))
	f.waitUntil("the resend gets the response", func() bool { return f.buy(1, "k").body == purchaseResponse("k") })
	assert.Equal(t, f.purchaseRuns("k"), 1)
}

func TestPurchaseIsNotRepeatedAfterAgentOrEntryDies(t *testing.T) {
	for _, victim := range []string{"agent", "entry"} {
		t.Run(victim, func(t *testing.T) {
			gate := make(runGate)
			f := newTestFleet(t, 0, 1, 2, withGate(gate))
			f.awaitAgents()
			f.awaitCounterEndpoints(0, 1)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if victim == "agent" {
					p := f.buy(0, "k")
					assert.Check(t, p.execution == problem.ExecutionUnknown, p.body)
					return
				}
				f.send(0, "k")
			}()
			f.waitUntil("the purchase runs", func() bool { return f.purchaseRuns("k") == 1 })
			if victim == "agent" {
				f.agents[0].Kill()
			} else {
				f.entries[0].Kill()
			}
			<-ended
			close(gate)
			f.addPlain(7)
			f.waitUntil("a send reaches the claim", func() bool {
				p := f.buy(1, "k")
				assert.Assert(t, !p.answered() || p.body == purchaseResponse("k"))
				return p.code == CodeClaimHeld && p.execution == problem.ExecutionUnknown
			})
			f.awaitCounterEndpoints(1, 1)
			f.waitUntil("another purchase is answered", func() bool { return f.buy(1, "other").answered() })
			assert.Equal(t, f.purchaseRuns("k"), 1)
		})
	}
}

// send is buy for an entry that may die before it responds.
func (f *testFleet) send(entry int, key string) {
	url := "http://" + f.entries[entry].cfg.HTTPAddr + "/v1/services/counter/purchase"
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url, strings.NewReader(purchaseBody(key)))
	assert.Check(f.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	if response, err := http.DefaultClient.Do(req); err == nil {
		response.Body.Close()
	}
}

func TestPurchasesWithLostMismatchedAndLateResponses(t *testing.T) {
	f := newTestFleet(t, 0, 2, 2, func(f *testFleet) {
		f.plainConfig = func(c *fakes.PlainServiceConfig) {
			c.DroppedResponseRatio, c.AttemptMismatchRatio, c.DelayedResponseRatio, c.ResponseDelay = 0.2, 0.2, 0.2, 20*time.Millisecond
		}
	})
	f.awaitAgents()
	f.awaitCounterEndpoints(0, 2)
	f.awaitCounterEndpoints(1, 2)
	f.buyConcurrently(24)
	assert.Equal(t, f.runCounter.DoubleRuns("purchase"), 0)
}

// buyConcurrently makes n purchases concurrently, each sent through both entries,
// and checks the responses.
func (f *testFleet) buyConcurrently(n int) {
	f.t.Helper()
	sends := make([][]purchase, n)
	var callers sync.WaitGroup
	for i := range n {
		callers.Go(func() {
			for s := range 3 {
				sends[i] = append(sends[i], f.buy((i+s)%2, fmt.Sprintf("k%d", i)))
			}
		})
	}
	callers.Wait()
	for i := range n {
		f.checkSends(f.t, fmt.Sprintf("k%d", i), sends[i])
	}
}

func TestPurchasesWithoutTheKeyValueService(t *testing.T) {
	f := newTestFleet(t, 0, 2, 2)
	f.awaitAgents()
	f.awaitCounterEndpoints(0, 2)
	f.awaitCounterEndpoints(1, 2)
	f.kv.SetDown(true)
	p := f.buy(0, "k")
	assert.Equal(t, p.code, CodeClaimsUnavailable, p.body)
	assert.Equal(t, p.execution, problem.ExecutionNotStarted)
	assert.Equal(t, f.purchaseRuns("k"), 0)
	status, _, body := f.post(1, "/v1/services/counter/balance", `{}`)
	assert.Equal(t, status, http.StatusOK, body)
	f.kv.SetDown(false)
	f.waitUntil("the purchase is answered", func() bool { return f.buy(1, "k").answered() })
	assert.Equal(t, f.purchaseRuns("k"), 1)
	f.kv.SetDroppedResponseRatio(0.5, 3)
	f.buyConcurrently(24)
	assert.Equal(t, f.runCounter.DoubleRuns("purchase"), 0)
}

// TestLostAnswersQuarantineNobody checks that lost responses to equal calls, such
// as balance checks that clerks repeat, do not count as crashes.
func TestLostAnswersQuarantineNobody(t *testing.T) {
	f := newTestFleet(t, 0, 2, 1, func(f *testFleet) {
		f.plainConfig = func(c *fakes.PlainServiceConfig) { c.DroppedResponseRatio = 1 }
	})
	f.awaitAgents()
	f.awaitCounterEndpoints(0, 2)
	for i := range 4 {
		status, _, body := f.post(0, "/v1/services/counter/purchase", `{}`, "Idempotency-Key", fmt.Sprint(i))
		assert.Equal(t, status, http.StatusBadGateway, body)
		status, _, body = f.post(0, "/v1/services/counter/balance", `{}`)
		assert.Equal(t, status, http.StatusBadGateway, body)
	}
}

func TestCrashingOperationIsQuarantined(t *testing.T) {
	f := newTestFleet(t, 0, 3, 2, func(f *testFleet) {
		f.plainConfig = func(c *fakes.PlainServiceConfig) {
			c.ServiceTime, c.RestartDuration = time.Millisecond, 100*time.Millisecond
		}
	})
	f.awaitAgents()
	f.awaitCounterEndpoints(0, 3)
	const body = `{"for":"` + fakes.CrashMarker + `"}`
	status, _, response := f.post(0, "/v1/services/counter/balance", body)
	assert.Equal(t, status, http.StatusUnprocessableEntity, response)
	balance := fleet.Operation{Name: "balance", Idempotent: true}
	f.awaitQuarantined(1, operationFingerprint(&call{organisation: "school"}, "counter", balance, "", []byte(body)))
	status, _, response = f.post(1, "/v1/services/counter/balance", body)
	assert.Equal(t, status, http.StatusUnprocessableEntity, response)
	assert.Equal(t, f.runCounter.Runs("balance", "", []byte(body)), 2)
	status, _, response = f.post(1, "/v1/services/counter/balance", `{}`)
	assert.Equal(t, status, http.StatusOK, response)
}
