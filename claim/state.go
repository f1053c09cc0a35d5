package claim

import (
	"time"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

// state is what a shard's log says, record by record. Equal logs make equal
// states. It performs no I/O.
type state struct {
	ttl  time.Duration
	keys map[core.Digest]*heldKey
	// order lists keys by claim, oldest first, for sweep.
	order []sweepItem
}

type sweepItem struct {
	key   core.Digest
	claim string
}

func newState(ttl time.Duration) *state {
	return &state{ttl: ttl, keys: make(map[core.Digest]*heldKey)}
}

// lookup returns the claim that holds a key at the given time, or nil.
func (s *state) lookup(key core.Digest, now time.Time) *heldKey {
	held, ok := s.keys[key]
	if !ok || now.Sub(held.at) >= s.ttl {
		return nil
	}
	return held
}

// apply changes the state by one record and reports whether the record had an
// effect.
func (s *state) apply(r *claimpb.Record) bool {
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

func (s *state) applyClaimed(key core.Digest, claim string, c *claimpb.Claimed) bool {
	at := time.UnixMilli(c.GetAtUnixMs())
	if s.lookup(key, at) != nil {
		return false
	}
	held := &heldKey{claim: claim, at: at}
	copy(held.request[:], c.GetRequestDigest())
	s.hold(key, held)
	return true
}

func (s *state) hold(key core.Digest, held *heldKey) {
	s.keys[key] = held
	s.order = append(s.order, sweepItem{key: key, claim: held.claim})
}

func (s *state) applyEnded(key core.Digest, claim string, e *claimpb.Ended) bool {
	if !s.open(key, claim) {
		return false
	}
	s.keys[key].ended = e
	return true
}

func (s *state) applyVoided(key core.Digest, claim string) bool {
	if !s.open(key, claim) {
		return false
	}
	delete(s.keys, key)
	return true
}

// open reports whether the claim holds the key and has no outcome.
func (s *state) open(key core.Digest, claim string) bool {
	held, ok := s.keys[key]
	return ok && held.claim == claim && held.ended == nil
}

// sweep drops claims that have expired.
func (s *state) sweep(now time.Time) {
	for len(s.order) > 0 {
		item := s.order[0]
		held, ok := s.keys[item.key]
		if ok && held.claim == item.claim {
			if now.Sub(held.at) < s.ttl {
				return
			}
			delete(s.keys, item.key)
		}
		s.order = s.order[1:]
	}
}
