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

// purchaseModel sends purchases while failures are injected; the counted runs
// are its oracle.
type purchaseModel struct {
	*testFleet
	iteration      int // Number of the rapid check; it makes keys unique to a check.
	replacedAgents int
	probes         int
	sends          map[string][]purchase
}

// send sends some purchases concurrently, including resends.
func (p *purchaseModel) send(t *rapid.T) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	for range rapid.IntRange(1, maxSends).Draw(t, "sends") {
		key := fmt.Sprintf("%d-%d", p.iteration, rapid.IntRange(0, purchaseKeys-1).Draw(t, "key"))
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

// outage makes the key-value service unavailable during some sends.
func (p *purchaseModel) outage(t *rapid.T) {
	p.kv.SetDown(true)
	p.send(t)
	p.kv.SetDown(false)
	p.awaitClaims()
}

// awaitClaims blocks until both entries can claim keys again.
func (p *purchaseModel) awaitClaims() {
	for entry := range p.entries {
		p.waitUntil("an entry can claim keys", func() bool {
			p.probes++
			return p.buy(entry, fmt.Sprint("probe-", p.probes)).code != CodeClaimsUnavailable
		})
	}
}

func (p *purchaseModel) dropStoreResponses(t *rapid.T) {
	ratio := rapid.SampledFrom([]float64{0, 0, 0.3, 0.8}).Draw(t, "ratio")
	p.kv.SetDroppedResponseRatio(ratio, rapid.Uint64().Draw(t, "seed"))
}

func (p *purchaseModel) crash(t *rapid.T) {
	p.plainServices[rapid.IntRange(0, len(p.plainServices)-1).Draw(t, "endpoint")].Crash()
}

// replace kills the agent that has run the longest and adds a new one.
func (p *purchaseModel) replace(t *rapid.T) {
	if p.replacedAgents == maxReplacements {
		t.Skip("enough replacements")
	}
	p.agents[p.replacedAgents].Kill()
	p.replacedAgents++
	p.addPlain(len(p.plainServices))
}

// checkSends compares the counted runs with the callers' responses.
func (p *purchaseModel) checkSends(t *rapid.T) {
	for key, sends := range p.sends {
		p.testFleet.checkSends(t, key, sends)
	}
}

func TestPurchasesStateful(t *testing.T) {
	p := &purchaseModel{testFleet: newTestFleet(t, 0, 3, 2, func(f *testFleet) {
		f.callTimeout = 2 * time.Second
		f.plainConfig = func(c *fakes.PlainServiceConfig) {
			c.ServiceTime, c.ResponseDelay, c.RestartDuration = 5*time.Millisecond, 30*time.Millisecond, 50*time.Millisecond
			c.DroppedResponseRatio, c.AttemptMismatchRatio, c.DelayedResponseRatio = 0.1, 0.1, 0.1
		}
	})}
	p.awaitAgents()
	p.awaitCounterEndpoints(0, 3)
	p.awaitCounterEndpoints(1, 3)
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		p.iteration++
		p.sends = map[string][]purchase{}
		t.Repeat(map[string]func(*rapid.T){
			"send": p.send, "send again": p.send, "send more": p.send,
			"outage": p.outage, "store loses answers": p.dropStoreResponses,
			"crash": p.crash, "replace": p.replace,
			"": p.checkSends,
		})
		p.kv.SetDroppedResponseRatio(0, 0)
		p.awaitClaims()
		for _, sends := range p.sends {
			for _, s := range sends {
				outcomes[fmt.Sprint(s.status, " ", s.code, " ", s.execution)]++
			}
		}
	})
	t.Log(outcomes)
	if outcomes[fmt.Sprint(http.StatusOK, "  ")] == 0 {
		t.Error("no purchase was answered")
	}
}

func TestQuarantineExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQuarantine(func() time.Time { return now })
	q.recordStrike(7, "first")
	q.recordStrike(7, "second")
	wait, refused := q.quarantinedFor(7)
	if !refused {
		t.Fatal("two crashes do not quarantine")
	}
	now = now.Add(wait)
	if _, refused := q.quarantinedFor(7); refused || q.isSuspect(7) {
		t.Error("quarantine does not expire")
	}
}

// An entry that starts long after two crashes has to refuse the request too, or it
// crashes two more endpoints after each restart.
func TestEntryThatStartsLearnsTheQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	running := newQuarantine(clock)
	running.recordStrike(7, "first")
	running.recordStrike(7, "second")
	now = now.Add(30 * time.Second)
	started := newQuarantine(clock)
	started.mergeStrikes(running.recentStrikes())
	want, _ := running.quarantinedFor(7)
	if got, refused := started.quarantinedFor(7); !refused || got != want {
		t.Errorf("refused: %v, for %v; the running entry refuses for %v", refused, got, want)
	}
}

// One crash strikes more requests than a heartbeat carries. The newest have to reach the
// other entries, or each of them learns of the crashing request by crashes of its own.
func TestHeartbeatsCarryTheNewestStrikes(t *testing.T) {
	const strikes = 3 * maxSharedStrikes
	now := time.Unix(1000, 0)
	q := newQuarantine(func() time.Time { return now })
	for fingerprint := range uint64(strikes) {
		now = now.Add(100 * time.Millisecond)
		q.recordStrike(fingerprint, "crash")
	}
	for _, s := range q.recentStrikes() {
		if s.GetFingerprint() < strikes-maxSharedStrikes {
			t.Errorf("strike %d of %d is sent before newer ones", s.GetFingerprint(), strikes)
		}
	}
}
