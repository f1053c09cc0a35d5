package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/internal/fakes"
)

const (
	maxReplacements = 4
	purchaseKeys    = 4
	maxSends        = 4
)

// purchases sends purchases while things fail; the ledger is its oracle.
type purchases struct {
	*testFleet
	check    int // Number of the check; keys of two checks differ.
	replaced int
	probes   int
	sends    map[string][]purchase
}

// send sends some purchases at the same time, resends among them.
func (p *purchases) send(t *rapid.T) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	for range rapid.IntRange(1, maxSends).Draw(t, "sends") {
		key := fmt.Sprintf("%d-%d", p.check, rapid.IntRange(0, purchaseKeys-1).Draw(t, "key"))
		entry := rapid.IntRange(0, 1).Draw(t, "entry")
		callers.Go(func() {
			outcome := p.buy(entry, key)
			mu.Lock()
			defer mu.Unlock()
			p.sends[key] = append(p.sends[key], outcome)
		})
	}
	callers.Wait()
}

// outage takes the store away during some sends.
func (p *purchases) outage(t *rapid.T) {
	p.kv.SetDown(true)
	p.send(t)
	p.kv.SetDown(false)
	p.awaitClaims()
}

// awaitClaims blocks until both entries get claims again.
func (p *purchases) awaitClaims() {
	for entry := range p.entries {
		p.until("claims", func() bool {
			p.probes++
			return p.buy(entry, fmt.Sprint("probe-", p.probes)).code != CodeClaimStore
		})
	}
}

func (p *purchases) storeLosesAnswers(t *rapid.T) {
	ratio := rapid.SampledFrom([]float64{0, 0, 0.3, 0.8}).Draw(t, "ratio")
	p.kv.SetDroppedResponseRatio(ratio, rapid.Uint64().Draw(t, "seed"))
}

func (p *purchases) crash(t *rapid.T) {
	p.plains[rapid.IntRange(0, len(p.plains)-1).Draw(t, "endpoint")].Crash()
}

// replace kills the agent that has run longest and adds a new one.
func (p *purchases) replace(t *rapid.T) {
	if p.replaced == maxReplacements {
		t.Skip("enough replacements")
	}
	p.agents[p.replaced].Kill()
	p.replaced++
	p.addPlain(len(p.plains))
}

// verify compares the ledger with what the callers were told.
func (p *purchases) verify(t *rapid.T) {
	for key, sends := range p.sends {
		p.testFleet.check(t, key, sends)
	}
}

func TestPurchasesStateful(t *testing.T) {
	p := &purchases{testFleet: newTestFleet(t, 0, 3, 2, func(f *testFleet) {
		f.callTimeout = 2 * time.Second
		f.plainConfig = func(c *fakes.PlainServiceConfig) {
			c.ServiceTime, c.ResponseDelay, c.RestartDuration = 5*time.Millisecond, 30*time.Millisecond, 50*time.Millisecond
			c.DroppedResponseRatio, c.AttemptMismatchRatio, c.DelayedResponseRatio = 0.1, 0.1, 0.1
		}
	})}
	p.awaitAgents()
	p.awaitCounter(0, 3)
	p.awaitCounter(1, 3)
	told := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		p.check++
		p.sends = map[string][]purchase{}
		t.Repeat(map[string]func(*rapid.T){
			"send": p.send, "send again": p.send, "send more": p.send,
			"outage": p.outage, "store loses answers": p.storeLosesAnswers,
			"crash": p.crash, "replace": p.replace,
			"": p.verify,
		})
		p.kv.SetDroppedResponseRatio(0, 0)
		p.awaitClaims()
		for _, sends := range p.sends {
			for _, s := range sends {
				told[fmt.Sprint(s.status, " ", s.code, " ", s.run)]++
			}
		}
	})
	t.Log(told)
	if told[fmt.Sprint(http.StatusOK, "  ")] == 0 {
		t.Error("no purchase was answered")
	}
}

func TestQuarantineLapses(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQuarantine(func() time.Time { return now })
	q.strike(7, "first")
	q.strike(7, "second")
	wait, refused := q.refused(7)
	if !refused {
		t.Fatal("two crashes do not quarantine")
	}
	now = now.Add(wait)
	if _, refused := q.refused(7); refused || q.suspect(7) {
		t.Error("quarantine does not lapse")
	}
}
