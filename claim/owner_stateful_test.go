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
	testTTL      = time.Minute
	testKeyCount = 3
	ownerCount   = 2
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// grantedCall is a granted call, as its caller knows it.
type grantedCall struct {
	claimID       string
	claimedAt     time.Time // Earliest time at which the claim was made.
	ended         bool
	status        int
	voided        bool
	requestDigest core.Digest
}

// submittedJob is a job with what its caller knows.
type submittedJob struct {
	job         *job
	key         string
	submittedAt time.Time
	abandoned   bool
}

// raceModel lets two owners of one shard race over a failing store. It calls
// flush instead of running event loops, so that rapid draws the interleaving.
type raceModel struct {
	kv            *testKeyValue
	now           time.Time
	lastID        int
	owners        [ownerCount]*Owner
	pending       [ownerCount][]*submittedJob
	activeFlushes int
	inFlight      []*submittedJob // Jobs of the active flushes.
	grantedCalls  map[string][]*grantedCall
}

func (m *raceModel) newID() string {
	m.lastID++
	return fmt.Sprintf("id-%d", m.lastID)
}

func (m *raceModel) newOwner() *Owner {
	return NewOwner(OwnerConfig{
		KeyValue: m.kv,
		TTL:      testTTL,
		Now:      func() time.Time { return m.now },
		BootNow:  func() time.Time { return m.now },
		NewID:    m.newID,
	})
}

func drawKey(t *rapid.T) string {
	return fmt.Sprintf("key-%d", rapid.IntRange(1, testKeyCount).Draw(t, "key"))
}

func drawOwner(t *rapid.T) int {
	return rapid.IntRange(0, ownerCount-1).Draw(t, "owner")
}

func (m *raceModel) submitClaim(t *rapid.T) {
	key := drawKey(t)
	digest := core.Digest{byte(rapid.IntRange(0, 9).Draw(t, "body") / 9)}
	i := drawOwner(t)
	j := newClaimJob(Request{Key: key, ClaimID: m.newID(), RequestDigest: digest})
	m.pending[i] = append(m.pending[i], &submittedJob{job: j, key: key, submittedAt: m.now})
}

func (m *raceModel) abandonJobs(t *rapid.T) {
	for _, submitted := range append(m.inFlight, m.pending[drawOwner(t)]...) {
		if rapid.Bool().Draw(t, "abandon") {
			submitted.abandoned = submitted.job.abandon() || submitted.abandoned
		}
	}
}

// submitOutcome ends a granted call that has no outcome yet. Its caller does not
// run it from then on.
func (m *raceModel) submitOutcome(t *rapid.T) {
	key := drawKey(t)
	for _, call := range m.grantedCalls[key] {
		if call.ended || call.voided {
			continue
		}
		m.lastID++ // So that no two outcomes share a status.
		outcome := Outcome{Key: key, ClaimID: call.claimID, Status: 200 + m.lastID}
		outcome.NotRun = rapid.Bool().Draw(t, "not run")
		call.voided = outcome.NotRun
		call.ended = !outcome.NotRun
		call.status = outcome.Status
		i := drawOwner(t)
		m.pending[i] = append(m.pending[i], &submittedJob{job: newOutcomeJob(outcome), key: key, submittedAt: m.now})
		return
	}
}

func (m *raceModel) flush(t *rapid.T) {
	m.flushOwner(t, drawOwner(t))
}

func (m *raceModel) flushOwner(t *rapid.T, i int) {
	m.activeFlushes++
	submitted := m.pending[i]
	m.pending[i] = nil
	m.inFlight = append(m.inFlight, submitted...)
	jobs := make([]*job, len(submitted))
	for k, s := range submitted {
		jobs[k] = s.job
	}
	remaining := m.owners[i].flush(context.Background(), jobs)
	assert.Equal(t, len(remaining), 0)
	m.activeFlushes--
	if m.activeFlushes == 0 {
		m.inFlight = nil
	}
	for _, s := range submitted {
		m.checkResult(t, s)
	}
}

func (m *raceModel) checkResult(t *rapid.T, submitted *submittedJob) {
	if submitted.abandoned {
		assert.Equal(t, len(submitted.job.results), 0)
		return
	}
	result := <-submitted.job.results
	if submitted.job.request == nil {
		return
	}
	switch result.verdict.Kind {
	case Granted:
		m.checkGrant(t, submitted)
	case Done:
		m.checkDone(t, submitted, result.verdict)
	}
}

// checkGrant checks that no other call of the key can have run within the TTL.
func (m *raceModel) checkGrant(t *rapid.T, submitted *submittedJob) {
	for _, earlier := range m.grantedCalls[submitted.key] {
		expired := m.now.Sub(earlier.claimedAt) >= testTTL
		assert.Assert(t, earlier.voided || expired, "%s granted to %s and %s", submitted.key, earlier.claimID, submitted.job.claimID)
	}
	m.grantedCalls[submitted.key] = append(m.grantedCalls[submitted.key], &grantedCall{claimID: submitted.job.claimID, claimedAt: submitted.submittedAt, requestDigest: submitted.job.request.RequestDigest})
}

func (m *raceModel) checkDone(t *rapid.T, submitted *submittedJob, v Verdict) {
	for _, call := range m.grantedCalls[submitted.key] {
		if call.ended && call.status == v.Status {
			assert.Equal(t, call.requestDigest, submitted.job.request.RequestDigest)
			return
		}
	}
	t.Fatalf("%s: outcome %d was never reported", submitted.key, v.Status)
}

func (m *raceModel) replaceOwner(t *rapid.T) {
	i := drawOwner(t)
	for _, s := range m.pending[i] {
		s.job.abandon()
	}
	m.pending[i] = nil
	m.owners[i] = m.newOwner()
}

func (m *raceModel) advanceClock(t *rapid.T) {
	m.now = m.now.Add(drawDuration(t))
}

func drawDuration(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{
		time.Millisecond, syncInterval, testTTL / 3, testTTL, testTTL + defaultClockSkew, 3 * testTTL,
	}).Draw(t, "pause")
}

// beforeStoreCall draws what happens before a call of the store: a pause, a complete
// flush of the other owner or a fault.
func (m *raceModel) beforeStoreCall(t *rapid.T) fault {
	m.interleave(t)
	if rapid.IntRange(0, 3).Draw(t, "faulty") > 0 {
		return faultNone
	}
	return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
}

func (m *raceModel) interleave(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "between") {
	case 0:
		m.advanceClock(t)
	case 1:
		m.kv.applyDelayed()
	case 5:
		m.abandonJobs(t)
	case 2, 3, 4:
		if m.activeFlushes == 1 {
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
		m := &raceModel{kv: newTestKeyValue(), now: epoch, grantedCalls: make(map[string][]*grantedCall)}
		for i := range m.owners {
			m.owners[i] = m.newOwner()
		}
		m.kv.beforeCall = func() fault { return m.beforeStoreCall(t) }
		m.kv.afterCall = func() { m.interleave(t) }
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.submitClaim,
			"claim2":  m.submitClaim,
			"flush":   m.flush,
			"flush2":  m.flush,
			"report":  m.submitOutcome,
			"abandon": m.abandonJobs,
			"advance": m.advanceClock,
			"replace": m.replaceOwner,
		})
	})
}
