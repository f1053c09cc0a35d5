package agent

import (
	"errors"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/endpoint"
)

// maxRest bounds the pause that an endpoint may ask for.
const maxRest = 24 * time.Hour

// restEvent records that the endpoint wants no calls for a time. Running calls continue, and
// waiting ones are refused, except continuations.
type restEvent struct {
	pause time.Duration
}

func (e restEvent) apply(s *scheduler) {
	until := s.now().Add(min(e.pause, maxRest))
	if until.After(s.restUntil) {
		s.restUntil = until
	}
	s.refuseWaiting(refusal{code: CodeBusy, retryAfter: e.pause})
}

// restLeft returns for how long the endpoint still wants no calls, 0 if it takes them.
func (s *scheduler) restLeft() time.Duration {
	return max(s.restUntil.Sub(s.now()), 0)
}

// refuseWaiting refuses the jobs that wait, except continuations.
func (s *scheduler) refuseWaiting(r refusal) {
	running := make(map[uint64]bool)
	for _, c := range s.queue.Running() {
		running[c.ID] = true
	}
	for id, j := range s.jobs {
		if !running[id] && !j.continuation && s.queue.Remove(id) {
			s.refuse(id, r)
		}
	}
}

// currentCredits returns the credits of the queue, none while the endpoint rests or its limit
// admits no more calls than those that wait.
func (s *scheduler) currentCredits() *creditSet {
	waiting := 0
	for _, calls := range s.queue.Load().Waiting {
		waiting += calls
	}
	if s.restLeft() > 0 || !s.limit.allows(s.now(), waiting+1) {
		return &creditSet{}
	}
	return &creditSet{byRank: s.queue.Credits(int(s.entryCount.Load()))}
}

// restAfter makes the scheduler keep to the pause that an endpoint asked for when it turned a
// call away, also if its answer was to another call.
func restAfter(s *scheduler, err error) {
	status, retryAfterMS := 0, int64(0)
	var notStarted *endpoint.NotStartedError
	var mismatched *endpoint.AttemptMismatchError
	switch {
	case errors.As(err, &notStarted):
		status, retryAfterMS = notStarted.Status, notStarted.RetryAfterMS
	case errors.As(err, &mismatched):
		status, retryAfterMS = mismatched.Status, mismatched.RetryAfterMS
	}
	if status != http.StatusServiceUnavailable || retryAfterMS <= 0 {
		return
	}
	milliseconds := min(retryAfterMS, maxRest.Milliseconds())
	s.post(restEvent{pause: time.Duration(milliseconds) * time.Millisecond})
}
