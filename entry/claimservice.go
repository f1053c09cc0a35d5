package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/claim"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

const (
	claimTimeout      = 3 * time.Second
	reportTimeout     = 5 * time.Second
	maxReportAttempts = 5
	reportRetryPause  = 500 * time.Millisecond
	claimRetryAfter   = time.Second
)

// claimService claims idempotency keys, so that a call runs at most once per
// key. It sends each claim to the entry that owns the key's shard; ownership is
// only an optimisation, since the log in the key-value service decides which
// claim is first.
type claimService struct {
	cfg    Config
	kv     backing.KeyValue
	routes *routes
	pool   *sessionPool
	logger *slog.Logger
	scope  tally.Scope
	now    func() time.Time
	ctx    context.Context // Its end stops the owners.

	mu            sync.Mutex // Guards owners.
	owners        map[int]*claim.Owner
	runningOwners sync.WaitGroup

	// pendingReports counts the outcomes that are not yet recorded.
	pendingReports sync.WaitGroup
}

// owner returns this entry's owner of a shard and starts it on first use.
func (s *claimService) owner(shard int) *claim.Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.owners[shard]; o != nil {
		return o
	}
	o := claim.NewOwner(claim.OwnerConfig{
		Shard:    shard,
		KeyValue: s.kv,
		Now:      s.now,
		Logger:   s.logger,
	})
	s.owners[shard] = o
	s.runningOwners.Add(1)
	go func() {
		defer s.runningOwners.Done()
		_ = o.Run(s.ctx)
	}()
	return o
}

// requestVerdict gets the verdict on a claim from the shard's owner. If the
// owner fails or its response is lost, the claim counts as refused: the call
// does not run, and a not-run outcome is reported to free the key.
func (s *claimService) requestVerdict(ctx context.Context, request claim.Request) claim.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	shard := claim.ShardOf(request.Key, s.cfg.ClaimShards)
	session := s.ownerSession(ctx, shard)
	verdict, err := s.requestVerdictFrom(ctx, session, shard, request)
	if err != nil {
		s.reportInBackground(claim.Outcome{Key: request.Key, ClaimID: request.ClaimID, NotRun: true})
		verdict = claim.Verdict{Kind: claim.Refused, RetryAfter: claimRetryAfter}
	}
	s.scope.Tagged(map[string]string{telemetry.TagOutcome: verdict.Kind.String()}).
		Counter(telemetry.MetricClaims).Inc(1)
	return verdict
}

func (s *claimService) requestVerdictFrom(ctx context.Context, session *wire.Session, shard int, request claim.Request) (claim.Verdict, error) {
	if session == nil {
		return s.owner(shard).Claim(ctx, request)
	}
	response := &wire.ClaimResponse{}
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Claim{Claim: &wire.ClaimRequest{
		Key:           request.Key,
		Claim:         request.ClaimID,
		RequestDigest: request.RequestDigest[:],
	}}}, response)
	if err != nil {
		return claim.Verdict{}, err
	}
	return verdictOf(response), nil
}

// ownerSession returns a session to the entry that owns the shard, or nil if
// that is this entry or it cannot be reached.
func (s *claimService) ownerSession(ctx context.Context, shard int) *wire.Session {
	entries := s.routes.liveEntries()
	ids := make([]core.InstanceID, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	owner := claim.OwnerOf(shard, ids)
	for _, e := range entries {
		if e.ID != owner || owner == s.cfg.Instance.ID {
			continue
		}
		session, err := s.pool.get(ctx, e)
		if err == nil {
			return session
		}
	}
	return nil
}

// reportInBackground reports an outcome in the background; awaitReports waits
// for it.
func (s *claimService) reportInBackground(outcome claim.Outcome) {
	s.pendingReports.Go(func() { s.reportWithRetries(outcome) })
}

// awaitReports blocks until all pending outcomes are recorded or abandoned, or
// ctx ends.
func (s *claimService) awaitReports(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.pendingReports.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// reportWithRetries records the outcome of a granted claim. If all attempts
// fail, the key stays claimed until the claim expires.
func (s *claimService) reportWithRetries(outcome claim.Outcome) {
	for range maxReportAttempts {
		if s.reportOnce(outcome) == nil {
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(reportRetryPause):
		}
	}
	s.logger.Warn("claim outcome not recorded, the idempotency key stays claimed until the claim expires", "claim", outcome.ClaimID)
}

func (s *claimService) reportOnce(outcome claim.Outcome) error {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	shard := claim.ShardOf(outcome.Key, s.cfg.ClaimShards)
	session := s.ownerSession(ctx, shard)
	if session == nil {
		return s.owner(shard).Report(ctx, outcome)
	}
	response := &wire.OutcomeResponse{}
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Outcome{Outcome: &wire.OutcomeReport{
		Key:    outcome.Key,
		Claim:  outcome.ClaimID,
		NotRun: outcome.NotRun,
		Status: uint32(outcome.Status),
		Body:   outcome.Body,
	}}}, response)
	if err != nil {
		return err
	}
	if !response.GetRecorded() {
		return claim.ErrNotRecorded
	}
	return nil
}

// serveClaim decides a claim for another entry. It does not revoke the verdict
// if the response is lost: only the requesting entry knows whether the call
// will run.
func (s *claimService) serveClaim(ctx context.Context, stream *wire.Stream, r *wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	req := claim.Request{Key: r.GetKey(), ClaimID: r.GetClaim(), RequestDigest: wire.DigestFromBytes(r.GetRequestDigest())}
	verdict, err := s.owner(claim.ShardOf(req.Key, s.cfg.ClaimShards)).Claim(ctx, req)
	if err != nil {
		verdict = claim.Verdict{Kind: claim.Refused, RetryAfter: claimRetryAfter}
	}
	_ = stream.Send(newClaimResponse(verdict))
}

// serveOutcome records an outcome for another entry.
func (s *claimService) serveOutcome(ctx context.Context, stream *wire.Stream, report *wire.OutcomeReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := s.owner(claim.ShardOf(report.GetKey(), s.cfg.ClaimShards)).Report(ctx, claim.Outcome{
		Key:     report.GetKey(),
		ClaimID: report.GetClaim(),
		NotRun:  report.GetNotRun(),
		Status:  int(report.GetStatus()),
		Body:    report.GetBody(),
	})
	_ = stream.Send(&wire.OutcomeResponse{Recorded: err == nil})
}

func (s *claimService) newClaim(key string, body []byte) *keyClaim {
	return &keyClaim{
		svc: s,
		request: claim.Request{
			Key:           key,
			ClaimID:       uuid.NewString(),
			RequestDigest: core.SumDigest(body),
		},
	}
}
