package entry

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

const (
	retryBudgetRatio = 0.2
	retryBudgetBurst = 20
)

// callService runs callers' calls. It is safe for concurrent use.
type callService struct {
	cfg        Config
	documents  *fleet.DocumentHolder
	routes     *routes
	pool       *sessionPool
	dispatcher *dispatcher
	quarantine *quarantine
	claims     *claimService
	answers    *heldbytes.Budget
	tracer     trace.Tracer
	scope      tally.Scope
	now        func() time.Time
	// ended is done when the calls that still run have to end, which end does.
	ended context.Context
	end   context.CancelFunc

	attemptCount atomic.Uint64
	callCount    atomic.Uint64
	// droppedEvents counts events of other attempts than the one being read;
	// resumedResponses counts responses that continued at another endpoint.
	droppedEvents, resumedResponses atomic.Int64

	mu          sync.Mutex // Guards retryBudget.
	retryBudget *routing.RetryBudget
}

// recordFirstToken reports the time to the first token.
func (s *callService) recordFirstToken(rank core.Rank, arrivedAt time.Time) {
	s.scope.Tagged(rankTag(rank)).Histogram(telemetry.MetricTimeToFirstToken, firstTokenBuckets).RecordDuration(s.now().Sub(arrivedAt))
}

// newCallID returns an identifier that no other call of the fleet has.
func (s *callService) newCallID() string {
	return s.uniqueID(s.callCount.Add(1))
}

// newAttemptID returns an identifier that no other attempt of the fleet has.
func (s *callService) newAttemptID(call string) string {
	return call + "." + strconv.FormatUint(s.attemptCount.Add(1), 36)
}

func (s *callService) uniqueID(n uint64) string {
	incarnation := strconv.FormatUint(s.cfg.Incarnation, 36)
	return string(s.cfg.Instance.ID) + "-" + incarnation + "-" + strconv.FormatUint(n, 36)
}

func (s *callService) recordCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.RecordCall()
}

// takeRetry takes one retry from the budget and reports whether one was left.
func (s *callService) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retryBudget.TakeRetry() {
		return false
	}
	s.scope.Counter(telemetry.MetricRetries).Inc(1)
	return true
}

// recordStrike records a strike against a request that was in flight when its
// endpoint crashed. A lost session counts as a crash unless the agent has
// announced that it is leaving.
func (s *callService) recordStrike(fingerprint uint64, instance core.InstanceID, broken *wire.CallBroken) {
	switch broken.GetCode() {
	case agent.CodeCrash:
		s.scope.Counter(telemetry.MetricStrikes).Inc(1)
		s.quarantine.recordStrike(fingerprint, broken.GetDetail())
	case codeSessionLost:
		member, ok := s.routes.membership.View().Find(instance)
		if ok && member.Leaving {
			return
		}
		s.scope.Counter(telemetry.MetricStrikes).Inc(1)
		s.quarantine.recordStrike(fingerprint, string(instance)+"/"+strconv.FormatUint(member.Incarnation, 10))
	}
}
