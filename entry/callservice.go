package entry

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

const (
	retryRatio = 0.2
	retryBurst = 20
)

// callService runs callers' calls. It is safe for concurrent use.
type callService struct {
	cfg        Config
	held       *fleet.DocumentHolder
	routes     *routes
	pool       *sessionPool
	dispatcher *dispatcher
	quarantine *quarantine
	claims     *claimService
	tracer     trace.Tracer
	scope      tally.Scope
	now        func() time.Time

	attempts atomic.Uint64
	calls    atomic.Uint64
	// dropped are late or crossed answers, resumed are streams that went on
	// at another endpoint.
	dropped, resumed atomic.Int64

	mu     sync.Mutex // Guards budget.
	budget *routing.RetryBudget
}

// firstToken reports the time to the first token of an answer.
func (s *callService) firstToken(rank core.Rank, started time.Time) {
	s.scope.Tagged(rankTag(rank)).Histogram(telemetry.MetricTimeToFirstToken, firstTokenBuckets).RecordDuration(s.now().Sub(started))
}

// callID returns an identifier that no other call of the fleet has.
func (s *callService) callID() string {
	return s.uniqueID(s.calls.Add(1))
}

// attemptID returns an identifier that no other attempt of the fleet has.
func (s *callService) attemptID(call string) string {
	return call + "." + strconv.FormatUint(s.attempts.Add(1), 36)
}

func (s *callService) uniqueID(n uint64) string {
	incarnation := strconv.FormatUint(s.cfg.Incarnation, 36)
	return string(s.cfg.Instance.ID) + "-" + incarnation + "-" + strconv.FormatUint(n, 36)
}

func (s *callService) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordCall()
}

// retryAllowed takes one retry of the budget.
func (s *callService) retryAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.TakeRetry() {
		return false
	}
	s.scope.Counter(telemetry.MetricRetries).Inc(1)
	return true
}

// strike records a request that was in flight when its endpoint crashed. A
// lost session counts as a crash unless the agent announced that it leaves.
func (s *callService) strike(fingerprint uint64, at core.InstanceID, b *wire.CallBroken) {
	switch b.GetCode() {
	case agent.CodeCrash:
		s.scope.Counter(telemetry.MetricStrikes).Inc(1)
		s.quarantine.strike(fingerprint, b.GetDetail())
	case codeSessionLost:
		member, ok := s.routes.membership.View().Find(at)
		if ok && member.Leaving {
			return
		}
		s.scope.Counter(telemetry.MetricStrikes).Inc(1)
		s.quarantine.strike(fingerprint, string(at)+"/"+strconv.FormatUint(member.Incarnation, 10))
	}
}
