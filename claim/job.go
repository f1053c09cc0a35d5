package claim

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

// The states of a job's answer.
const (
	jobWaiting int32 = iota
	jobAnswered
	jobAbandoned
)

// answer is what a job's caller gets.
type answer struct {
	verdict Verdict
	err     error
}

// job is one request or outcome on its way through an Owner.
type job struct {
	key     core.Digest
	claim   string
	request *Request // Nil for an outcome.
	outcome *claimpb.Record
	state   atomic.Int32
	answers chan answer
}

func newClaimJob(r Request) *job {
	return &job{key: keyDigest(r.Key), claim: r.Claim, request: &r, answers: make(chan answer, 1)}
}

func newOutcomeJob(o Outcome) *job {
	return &job{key: keyDigest(o.Key), claim: o.Claim, outcome: outcomeRecord(o), answers: make(chan answer, 1)}
}

// answer gives the caller its answer, or returns false if it has gone.
func (j *job) answer(a answer) bool {
	if !j.state.CompareAndSwap(jobWaiting, jobAnswered) {
		return false
	}
	j.answers <- a
	return true
}

// abandon ends the caller's wait, or returns false if the answer came first.
func (j *job) abandon() bool {
	return j.state.CompareAndSwap(jobWaiting, jobAbandoned)
}
