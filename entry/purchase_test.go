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

// gate holds plain runs, after they took effect, until it is opened.
type gate chan struct{}

func (g gate) sleep(ctx context.Context, _ time.Duration) error {
	select {
	case <-g:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func gated(g gate) func(*testFleet) {
	return func(f *testFleet) {
		f.plainConfig = func(c *fakes.PlainServiceConfig) {
			c.Sleep = g.sleep
			c.ServiceTime = time.Millisecond
		}
	}
}

// purchase is the outcome of one send of a purchase.
type purchase struct {
	status int
	body   string
	run    string // Of a refusal.
	code   string
}

func (p purchase) answered() bool { return p.status == http.StatusOK }

func purchaseBody(key string) string {
	return fmt.Sprintf(`{"stamps":3,"for":%q}`, key)
}

func purchaseAnswer(key string) string {
	return string(fakes.PlainResponseBody("purchase", []byte(purchaseBody(key))))
}

func (f *testFleet) buy(entry int, key string) purchase {
	f.t.Helper()
	status, _, body := f.post(entry, "/v1/services/counter/purchase", purchaseBody(key), "Idempotency-Key", key)
	p := purchase{status: status, body: body}
	if !p.answered() {
		var refused problem.Problem
		assert.NilError(f.t, json.Unmarshal([]byte(body), &refused), body)
		p.run, p.code = refused.Execution, refused.Code
	}
	return p
}

func (f *testFleet) runs(key string) int {
	return f.ledger.Runs("purchase", key, []byte(purchaseBody(key)))
}

// check compares the ledger with what all sends of a purchase were told.
func (f *testFleet) check(t assert.TestingT, key string, sends []purchase) {
	runs := f.runs(key)
	assert.Assert(t, runs <= 1, "%s ran %d times", key, runs)
	if runs == 0 {
		for _, p := range sends {
			assert.Assert(t, !p.answered(), "%s was answered, not run", key)
		}
		return
	}
	told := false
	for _, p := range sends {
		if p.answered() {
			assert.Equal(t, p.body, purchaseAnswer(key))
		}
		told = told || p.answered() || p.run == problem.ExecutionUnknown
	}
	assert.Assert(t, told, "%s ran, every send was told not-run: %v", key, sends)
}

// awaitCounter blocks until an entry may send to n replicas of the counter.
func (f *testFleet) awaitCounter(entry, n int) {
	f.t.Helper()
	f.until("endpoints of the counter", func() bool {
		return f.entries[entry].routes.endpoints("counter") >= n
	})
}

func (r *routes) endpoints(service string) int {
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
	g := make(gate)
	f := newTestFleet(t, 0, 2, 2, gated(g))
	f.awaitAgents()
	f.awaitCounter(0, 2)
	first := make(chan purchase)
	go func() { first <- f.buy(0, "k") }()
	f.until("the purchase runs", func() bool { return f.runs("k") == 1 })
	resent := f.buy(1, "k")
	assert.Equal(t, resent.code, CodeClaimHeld, resent.body)
	assert.Equal(t, resent.run, problem.ExecutionUnknown)
	close(g)
	assert.Equal(t, (<-first).body, purchaseAnswer("k"))
	f.until("the resend gets the answer", func() bool { return f.buy(1, "k").body == purchaseAnswer("k") })
	assert.Equal(t, f.runs("k"), 1)
}

func TestPurchaseIsNotRepeatedAfterItsAgentOrEntryDied(t *testing.T) {
	for _, victim := range []string{"agent", "entry"} {
		t.Run(victim, func(t *testing.T) {
			g := make(gate)
			f := newTestFleet(t, 0, 1, 2, gated(g))
			f.awaitAgents()
			f.awaitCounter(0, 1)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if victim == "agent" {
					p := f.buy(0, "k")
					assert.Check(t, p.run == problem.ExecutionUnknown, p.body)
					return
				}
				f.send(0, "k")
			}()
			f.until("the purchase runs", func() bool { return f.runs("k") == 1 })
			if victim == "agent" {
				f.agents[0].Kill()
			} else {
				f.entries[0].Kill()
			}
			<-ended
			close(g)
			f.addPlain(7)
			f.until("a send reaches the claim", func() bool {
				p := f.buy(1, "k")
				assert.Assert(t, !p.answered() || p.body == purchaseAnswer("k"))
				return p.code == CodeClaimHeld && p.run == problem.ExecutionUnknown
			})
			f.awaitCounter(1, 1)
			f.until("another purchase is answered", func() bool { return f.buy(1, "other").answered() })
			assert.Equal(t, f.runs("k"), 1)
		})
	}
}

// send is buy where the entry may die before its answer.
func (f *testFleet) send(entry int, key string) {
	url := "http://" + f.entries[entry].cfg.HTTPAddr + "/v1/services/counter/purchase"
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url, strings.NewReader(purchaseBody(key)))
	assert.Check(f.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	if answer, err := http.DefaultClient.Do(req); err == nil {
		answer.Body.Close()
	}
}

func TestPurchasesWithLostCrossedAndLateAnswers(t *testing.T) {
	f := newTestFleet(t, 0, 2, 2, func(f *testFleet) {
		f.plainConfig = func(c *fakes.PlainServiceConfig) {
			c.DroppedResponseRatio, c.AttemptMismatchRatio, c.DelayedResponseRatio, c.ResponseDelay = 0.2, 0.2, 0.2, 20*time.Millisecond
		}
	})
	f.awaitAgents()
	f.awaitCounter(0, 2)
	f.awaitCounter(1, 2)
	f.buyAll(24)
	assert.Equal(t, f.ledger.DoubleRuns("purchase"), 0)
}

// buyAll makes purchases at the same time, each sent through both entries,
// and checks what the sends were told.
func (f *testFleet) buyAll(n int) {
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
		f.check(f.t, fmt.Sprintf("k%d", i), sends[i])
	}
}

func TestPurchasesWithoutTheKeyValueService(t *testing.T) {
	f := newTestFleet(t, 0, 2, 2)
	f.awaitAgents()
	f.awaitCounter(0, 2)
	f.awaitCounter(1, 2)
	f.kv.SetDown(true)
	p := f.buy(0, "k")
	assert.Equal(t, p.code, CodeClaimStore, p.body)
	assert.Equal(t, p.run, problem.ExecutionNotStarted)
	assert.Equal(t, f.runs("k"), 0)
	status, _, body := f.post(1, "/v1/services/counter/balance", `{}`)
	assert.Equal(t, status, http.StatusOK, body)
	f.kv.SetDown(false)
	f.until("the purchase is answered", func() bool { return f.buy(1, "k").answered() })
	assert.Equal(t, f.runs("k"), 1)
	f.kv.SetDroppedResponseRatio(0.5, 3)
	f.buyAll(24)
	assert.Equal(t, f.ledger.DoubleRuns("purchase"), 0)
}

// TestLostAnswersQuarantineNobody covers equal calls, such as those of clerks
// who repeat the balance check.
func TestLostAnswersQuarantineNobody(t *testing.T) {
	f := newTestFleet(t, 0, 2, 1, func(f *testFleet) {
		f.plainConfig = func(c *fakes.PlainServiceConfig) { c.DroppedResponseRatio = 1 }
	})
	f.awaitAgents()
	f.awaitCounter(0, 2)
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
	f.awaitCounter(0, 3)
	const body = `{"for":"` + fakes.CrashMarker + `"}`
	status, _, answer := f.post(0, "/v1/services/counter/balance", body)
	assert.Equal(t, status, http.StatusUnprocessableEntity, answer)
	balance := fleet.Operation{Name: "balance", Idempotent: true}
	f.awaitQuarantined(1, operationFingerprint(&call{organisation: "school"}, "counter", balance, "", []byte(body)))
	status, _, answer = f.post(1, "/v1/services/counter/balance", body)
	assert.Equal(t, status, http.StatusUnprocessableEntity, answer)
	assert.Equal(t, f.ledger.Runs("balance", "", []byte(body)), 2)
	status, _, answer = f.post(1, "/v1/services/counter/balance", `{}`)
	assert.Equal(t, status, http.StatusOK, answer)
}
