package claim

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

// The states of a job.
const (
	jobPending int32 = iota
	jobCompleted
	jobAbandoned
)

// jobResult is what a job's caller receives.
type jobResult struct {
	verdict Verdict
	err     error
}

// job is one request or outcome submitted to an Owner.
type job struct {
	key     core.Digest
	claimID string
	request *Request // Nil for an outcome.
	outcome *claimpb.Record
	state   atomic.Int32
	results chan jobResult
}

func newClaimJob(r Request) *job {
	return &job{key: keyDigest(r.Key), claimID: r.ClaimID, request: &r, results: make(chan jobResult, 1)}
}

func newOutcomeJob(o Outcome) *job {
	return &job{key: keyDigest(o.Key), claimID: o.ClaimID, outcome: outcomeRecord(o), results: make(chan jobResult, 1)}
}

// complete sends the caller its result, or returns false if the caller no longer waits.
func (j *job) complete(result jobResult) bool {
	if !j.state.CompareAndSwap(jobPending, jobCompleted) {
		return false
	}
	j.results <- result
	return true
}

// abandon ends the caller's wait, or returns false if the result came first.
func (j *job) abandon() bool {
	return j.state.CompareAndSwap(jobPending, jobAbandoned)
}
