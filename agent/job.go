package agent

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

// refusal says why a job does not run or continue.
type refusal struct {
	code       string
	retryAfter time.Duration
	detail     string
}

// job is one attempt of a call at this endpoint. The scheduler owns call; the
// goroutine that serves the stream owns the rest.
type job struct {
	call routing.Call
	// continuation says that the caller may have received a part of the answer.
	// Only the scheduler changes it.
	continuation bool
	req          *wire.CallRequest
	// expiresAt is when the caller gives up, on a clock that counts suspensions; the
	// queue measures call.Deadline on its own clock.
	expiresAt time.Time
	// started and refused buffer at most one signal each.
	started chan struct{}
	refused chan refusal
	// interrupt cancels the running endpoint call.
	interrupt interrupt
	// mayHaveStarted says whether the endpoint may have started the attempt.
	mayHaveStarted bool
	// generated are the tokens that this endpoint generated so far.
	generated []string
	// held counts the answer: generatedBytes between two runs, while the call runs also what
	// its client of the endpoint holds, and from its end the final event.
	held           *heldbytes.Held
	generatedBytes int
	// exported counts the exported KV cache, nil for none.
	exported *heldbytes.Held
}

// tokenOverheadBytes is the memory that a token takes beside its text, at most: its place in a slice
// that grows, and the rounding of its allocation.
const tokenOverheadBytes = 64

// keepToken adds a generated token. It returns heldbytes.ErrNoRoom if there is no room for it.
func (j *job) keepToken(text string) error {
	size := len(text) + tokenOverheadBytes
	if err := j.held.AddBytes(size); err != nil {
		return err
	}
	j.generatedBytes += size
	j.generated = append(j.generated, text)
	return nil
}

// release ends the count of the answer and drops the tokens.
func (j *job) release() {
	j.generated, j.generatedBytes = nil, 0
	j.held.Release()
	j.exported.Release()
}

func newJob(id uint64, policy string, req *wire.CallRequest, now time.Time) *job {
	return &job{
		call:         jobCall(id, policy, req, now),
		continuation: len(req.GetPrefixTokens()) > 0,
		req:          req,
		started:      make(chan struct{}, 1),
		refused:      make(chan refusal, 1),
	}
}

func jobCall(id uint64, policy string, req *wire.CallRequest, now time.Time) routing.Call {
	if policy == core.PolicyBaseline {
		return baselineCall(id, req, now)
	}
	weight := req.GetWeight()
	if weight <= 0 {
		weight = 1
	}
	return routing.Call{
		ID:             id,
		Rank:           callRank(req),
		Organisation:   callOrganisation(req),
		Weight:         weight,
		ExpectedTokens: max(1, int(req.GetMaxTokens())),
		Deadline:       now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		Waited:         time.Duration(req.GetWaitedMs()) * time.Millisecond,
		Resumable:      req.GetService() == "",
		Suspect:        req.GetSuspect(),
	}
}

// baselineCall omits rank and organisation, so that the queue is first in,
// first out.
func baselineCall(id uint64, req *wire.CallRequest, now time.Time) routing.Call {
	return routing.Call{
		ID:             id,
		Rank:           core.RankUrgent,
		Weight:         1,
		ExpectedTokens: max(1, int(req.GetMaxTokens())),
		Deadline:       now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
	}
}
