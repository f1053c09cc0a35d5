package claim

import (
	"time"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

// shardState is the result of applying the records of a shard's log in order.
// Equal logs give equal states. It performs no I/O.
type shardState struct {
	ttl    time.Duration
	claims map[core.Digest]*activeClaim // By key.
	// expiryQueue lists claims in log order, for dropExpired.
	expiryQueue []expiryItem
}

type expiryItem struct {
	key     core.Digest
	claimID string
}

func newShardState(ttl time.Duration) *shardState {
	return &shardState{ttl: ttl, claims: make(map[core.Digest]*activeClaim)}
}

// lookup returns the claim that holds a key at the given time, or nil.
func (s *shardState) lookup(key core.Digest, now time.Time) *activeClaim {
	holder, ok := s.claims[key]
	if !ok || now.Sub(holder.claimedAt) >= s.ttl {
		return nil
	}
	return holder
}

// apply changes the state by one record and reports whether the record had an
// effect.
func (s *shardState) apply(r *claimpb.Record) bool {
	var key core.Digest
	copy(key[:], r.GetKey())
	switch change := r.GetChange().(type) {
	case *claimpb.Record_Claimed:
		return s.applyClaimed(key, r.GetClaim(), change.Claimed)
	case *claimpb.Record_Ended:
		return s.applyEnded(key, r.GetClaim(), change.Ended)
	case *claimpb.Record_Voided:
		return s.applyVoided(key, r.GetClaim())
	default:
		return false
	}
}

func (s *shardState) applyClaimed(key core.Digest, claimID string, claimed *claimpb.Claimed) bool {
	claimedAt := time.UnixMilli(claimed.GetAtUnixMs())
	if s.lookup(key, claimedAt) != nil {
		return false
	}
	holder := &activeClaim{id: claimID, claimedAt: claimedAt}
	copy(holder.requestDigest[:], claimed.GetRequestDigest())
	s.put(key, holder)
	return true
}

func (s *shardState) put(key core.Digest, holder *activeClaim) {
	s.claims[key] = holder
	s.expiryQueue = append(s.expiryQueue, expiryItem{key: key, claimID: holder.id})
}

func (s *shardState) applyEnded(key core.Digest, claimID string, ended *claimpb.Ended) bool {
	if !s.awaitsOutcome(key, claimID) {
		return false
	}
	s.claims[key].outcome = ended
	return true
}

func (s *shardState) applyVoided(key core.Digest, claimID string) bool {
	if !s.awaitsOutcome(key, claimID) {
		return false
	}
	delete(s.claims, key)
	return true
}

// awaitsOutcome reports whether the claim holds the key and has no outcome.
func (s *shardState) awaitsOutcome(key core.Digest, claimID string) bool {
	holder, ok := s.claims[key]
	return ok && holder.id == claimID && holder.outcome == nil
}

// dropExpired removes claims that have expired.
func (s *shardState) dropExpired(now time.Time) {
	for len(s.expiryQueue) > 0 {
		item := s.expiryQueue[0]
		holder, ok := s.claims[item.key]
		if ok && holder.id == item.claimID {
			if now.Sub(holder.claimedAt) < s.ttl {
				return
			}
			delete(s.claims, item.key)
		}
		s.expiryQueue = s.expiryQueue[1:]
	}
}
