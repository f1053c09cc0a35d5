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
	claimTimeout   = 3 * time.Second
	reportTimeout  = 5 * time.Second
	reportAttempts = 5
	reportPause    = 500 * time.Millisecond
	claimHeldRetry = time.Second
)

// claimService takes the single run of idempotency keys. It asks the entry
// that owns a key's shard; owning is only an optimisation, since the log in
// the key-value service decides which claim is first.
type claimService struct {
	cfg    Config
	kv     backing.KeyValue
	routes *routes
	pool   *sessionPool
	logger *slog.Logger
	scope  tally.Scope
	now    func() time.Time
	ctx    context.Context // Ends the owners.

	mu     sync.Mutex // Guards owners.
	owners map[int]*claim.Owner
	wg     sync.WaitGroup

	// reports are the outcomes on their way to the log.
	reports sync.WaitGroup
}

// owner returns this entry's owner of a shard and starts it at first use.
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
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = o.Run(s.ctx)
	}()
	return o
}

// ask gets the verdict on a claim from the shard's owner. An answer that was
// lost makes the claim refused: the caller never runs it, and says so to the
// log, so that the key is free again.
func (s *claimService) ask(ctx context.Context, r claim.Request) claim.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	shard := claim.ShardOf(r.Key, s.cfg.ClaimShards)
	session := s.ownerSession(ctx, shard)
	verdict, err := s.askAt(ctx, session, shard, r)
	if err != nil {
		s.reportLater(claim.Outcome{Key: r.Key, ClaimID: r.ClaimID, NotRun: true})
		verdict = claim.Verdict{Kind: claim.Refused, RetryAfter: claimHeldRetry}
	}
	s.scope.Tagged(map[string]string{telemetry.TagOutcome: verdict.Kind.String()}).
		Counter(telemetry.MetricClaims).Inc(1)
	return verdict
}

func (s *claimService) askAt(ctx context.Context, session *wire.Session, shard int, r claim.Request) (claim.Verdict, error) {
	if session == nil {
		return s.owner(shard).Claim(ctx, r)
	}
	answer := &wire.ClaimResponse{}
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Claim{Claim: &wire.ClaimRequest{
		Key:           r.Key,
		Claim:         r.ClaimID,
		RequestDigest: r.RequestDigest[:],
	}}}, answer)
	if err != nil {
		return claim.Verdict{}, err
	}
	return verdictOf(answer), nil
}

// ownerSession returns a session to the entry that owns the shard, or nil if
// that is this entry or cannot be reached.
func (s *claimService) ownerSession(ctx context.Context, shard int) *wire.Session {
	entries := s.routes.entries()
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

// reportLater reports in the background; awaitReports waits for it.
func (s *claimService) reportLater(o claim.Outcome) {
	s.reports.Go(func() { s.report(o) })
}

// awaitReports blocks until the outcomes of the calls that have ended are
// recorded or given up, or ctx ends.
func (s *claimService) awaitReports(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.reports.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// report records how a granted claim ended. It tries a few times; a claim
// whose end is lost stays held until it expires.
func (s *claimService) report(o claim.Outcome) {
	for range reportAttempts {
		if s.reportOnce(o) == nil {
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(reportPause):
		}
	}
	s.logger.Warn("outcome of a claim is lost", "claim", o.ClaimID)
}

func (s *claimService) reportOnce(o claim.Outcome) error {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	shard := claim.ShardOf(o.Key, s.cfg.ClaimShards)
	session := s.ownerSession(ctx, shard)
	if session == nil {
		return s.owner(shard).Report(ctx, o)
	}
	answer := &wire.OutcomeResponse{}
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Outcome{Outcome: &wire.OutcomeReport{
		Key:    o.Key,
		Claim:  o.ClaimID,
		NotRun: o.NotRun,
		Status: uint32(o.Status),
		Body:   o.Body,
	}}}, answer)
	if err != nil {
		return err
	}
	if !answer.GetRecorded() {
		return claim.ErrNotRecorded
	}
	return nil
}

// serveClaim answers another entry. The verdict is never taken back here when
// its answer gets lost: only the asking entry knows whether it will run.
func (s *claimService) serveClaim(ctx context.Context, st *wire.Stream, r *wire.ClaimRequest) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	req := claim.Request{Key: r.GetKey(), ClaimID: r.GetClaim(), RequestDigest: wire.DigestFromBytes(r.GetRequestDigest())}
	verdict, err := s.owner(claim.ShardOf(req.Key, s.cfg.ClaimShards)).Claim(ctx, req)
	if err != nil {
		verdict = claim.Verdict{Kind: claim.Refused, RetryAfter: claimHeldRetry}
	}
	_ = st.Send(verdictMessage(verdict))
}

// serveOutcome records an outcome for another entry.
func (s *claimService) serveOutcome(ctx context.Context, st *wire.Stream, r *wire.OutcomeReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := s.owner(claim.ShardOf(r.GetKey(), s.cfg.ClaimShards)).Report(ctx, claim.Outcome{
		Key:     r.GetKey(),
		ClaimID: r.GetClaim(),
		NotRun:  r.GetNotRun(),
		Status:  int(r.GetStatus()),
		Body:    r.GetBody(),
	})
	_ = st.Send(&wire.OutcomeResponse{Recorded: err == nil})
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
