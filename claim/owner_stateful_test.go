package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
)

const (
	testTTL  = time.Minute
	testKeys = 3
	owners   = 2
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run is a granted call, as its caller knows it.
type run struct {
	claim   string
	at      time.Time // When the claim was made, at the earliest.
	ended   bool
	status  int
	voided  bool
	request core.Digest
}

// asked is a job with what its caller knows.
type asked struct {
	job       *job
	key       string
	at        time.Time
	abandoned bool
}

// raceModel lets two owners of one shard race over a failing store. Owners are
// stepped by hand, so that each interleaving is drawn.
type raceModel struct {
	kv      *testKeyValue
	now     time.Time
	ids     int
	owners  [owners]*Owner
	pending [owners][]*asked
	flushes int
	flight  []*asked // Jobs of the flushes under way.
	runs    map[string][]*run
}

func (m *raceModel) newID() string {
	m.ids++
	return fmt.Sprintf("id-%d", m.ids)
}

func (m *raceModel) newOwner() *Owner {
	return NewOwner(OwnerConfig{
		KeyValue: m.kv,
		TTL:      testTTL,
		Now:      func() time.Time { return m.now },
		NewID:    m.newID,
	})
}

func drawKey(t *rapid.T) string {
	return fmt.Sprintf("key-%d", rapid.IntRange(1, testKeys).Draw(t, "key"))
}

func drawOwner(t *rapid.T) int {
	return rapid.IntRange(0, owners-1).Draw(t, "owner")
}

func (m *raceModel) ask(t *rapid.T) {
	key := drawKey(t)
	digest := core.Digest{byte(rapid.IntRange(0, 9).Draw(t, "body") / 9)}
	i := drawOwner(t)
	j := newClaimJob(Request{Key: key, Claim: m.newID(), RequestDigest: digest})
	m.pending[i] = append(m.pending[i], &asked{job: j, key: key, at: m.now})
}

func (m *raceModel) abandon(t *rapid.T) {
	for _, a := range append(m.flight, m.pending[drawOwner(t)]...) {
		if rapid.Bool().Draw(t, "abandon") {
			a.abandoned = a.job.abandon() || a.abandoned
		}
	}
}

// report ends an open run; its caller is done with it from now on.
func (m *raceModel) report(t *rapid.T) {
	key := drawKey(t)
	for _, r := range m.runs[key] {
		if r.ended || r.voided {
			continue
		}
		m.ids++ // So that no two outcomes share a status.
		o := Outcome{Key: key, Claim: r.claim, Status: 200 + m.ids}
		o.NotRun = rapid.Bool().Draw(t, "not run")
		r.voided = o.NotRun
		r.ended = !o.NotRun
		r.status = o.Status
		i := drawOwner(t)
		m.pending[i] = append(m.pending[i], &asked{job: newOutcomeJob(o), key: key, at: m.now})
		return
	}
}

func (m *raceModel) flush(t *rapid.T) {
	m.flushOwner(t, drawOwner(t))
}

func (m *raceModel) flushOwner(t *rapid.T, i int) {
	m.flushes++
	batch := m.pending[i]
	m.pending[i] = nil
	m.flight = append(m.flight, batch...)
	jobs := make([]*job, len(batch))
	for k, a := range batch {
		jobs[k] = a.job
	}
	left := m.owners[i].flush(context.Background(), jobs)
	assert.Equal(t, len(left), 0)
	m.flushes--
	if m.flushes == 0 {
		m.flight = nil
	}
	for _, a := range batch {
		m.answered(t, a)
	}
}

func (m *raceModel) answered(t *rapid.T, a *asked) {
	if a.abandoned {
		assert.Equal(t, len(a.job.answers), 0)
		return
	}
	got := <-a.job.answers
	if a.job.request == nil {
		return
	}
	switch got.verdict.Kind {
	case Granted:
		m.granted(t, a)
	case Done:
		m.checkDone(t, a, got.verdict)
	}
}

// granted checks the rule: no other run of the key that may have happened
// within the TTL.
func (m *raceModel) granted(t *rapid.T, a *asked) {
	for _, r := range m.runs[a.key] {
		expired := m.now.Sub(r.at) >= testTTL
		assert.Assert(t, r.voided || expired, "%s granted to %s and %s", a.key, r.claim, a.job.claim)
	}
	m.runs[a.key] = append(m.runs[a.key], &run{claim: a.job.claim, at: a.at, request: a.job.request.RequestDigest})
}

func (m *raceModel) checkDone(t *rapid.T, a *asked, v Verdict) {
	for _, r := range m.runs[a.key] {
		if r.ended && r.status == v.Status {
			assert.Equal(t, r.request, a.job.request.RequestDigest)
			return
		}
	}
	t.Fatalf("%s: outcome %d was never reported", a.key, v.Status)
}

func (m *raceModel) replace(t *rapid.T) {
	i := drawOwner(t)
	for _, a := range m.pending[i] {
		a.job.abandon()
	}
	m.pending[i] = nil
	m.owners[i] = m.newOwner()
}

func (m *raceModel) advance(t *rapid.T) {
	m.now = m.now.Add(drawPause(t))
}

func drawPause(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{
		time.Millisecond, syncInterval, testTTL / 3, testTTL, testTTL + defaultClockSkew, 3 * testTTL,
	}).Draw(t, "pause")
}

// disturb draws what happens around a call of the store: a fault, a pause, or
// the other owner's whole flush.
func (m *raceModel) disturb(t *rapid.T) fault {
	m.between(t)
	if rapid.IntRange(0, 3).Draw(t, "faulty") > 0 {
		return faultNone
	}
	return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
}

func (m *raceModel) between(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "between") {
	case 0:
		m.advance(t)
	case 1:
		m.kv.deliver()
	case 5:
		m.abandon(t)
	case 2, 3, 4:
		if m.flushes == 1 {
			m.flushOther(t)
		}
	}
}

func (m *raceModel) flushOther(t *rapid.T) {
	for i := range m.owners {
		if len(m.pending[i]) > 0 {
			m.flushOwner(t, i)
			return
		}
	}
}

func TestOwnersRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &raceModel{kv: newTestKeyValue(), now: epoch, runs: make(map[string][]*run)}
		for i := range m.owners {
			m.owners[i] = m.newOwner()
		}
		m.kv.before = func() fault { return m.disturb(t) }
		m.kv.after = func() { m.between(t) }
		t.Repeat(map[string]func(*rapid.T){
			"ask":     m.ask,
			"ask2":    m.ask,
			"flush":   m.flush,
			"flush2":  m.flush,
			"report":  m.report,
			"abandon": m.abandon,
			"advance": m.advance,
			"replace": m.replace,
		})
	})
}
