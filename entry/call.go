package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing"
)

// call holds what the entry knows of a caller's request apart from its body.
type call struct {
	id           string
	organisation core.OrganisationID
	weight       float64
	kind         string
	rank         core.Rank
	fingerprint  uint64
	arrivedAt    time.Time
	deadline     time.Time
	// held counts the answers that the call keeps until releaseHeld.
	held []*heldbytes.Held
}

// releaseHeld ends the count of the answers.
func (c *call) releaseHeld() {
	for _, held := range c.held {
		held.Release()
	}
	c.held = nil
}

// addHeld counts a copy of the answers. It returns heldbytes.ErrNoRoom if there is no room for it.
func (c *call) addHeld(n int) error {
	if len(c.held) == 0 {
		return nil
	}
	return c.held[len(c.held)-1].AddBytes(n)
}

// startWriting records that the answers are complete and about to be written; abort ends the writing.
// It returns heldbytes.ErrNoRoom if one of them has to make room.
func (c *call) startWriting(abort func()) error {
	for _, held := range c.held {
		if err := held.StartWriting(abort); err != nil {
			return err
		}
	}
	return nil
}

// recordProgress records that the caller has taken a part of the answer.
func (c *call) recordProgress() {
	for _, held := range c.held {
		held.RecordProgress()
	}
}

// endWriting ends the count of the answers. It returns heldbytes.ErrNoRoom if one of them had to make
// room, so that its writing was ended, or will be.
func (c *call) endWriting() error {
	for _, held := range c.held {
		held.Release() // From now on it is not evicted.
		if err := held.Cause(nil); err != nil {
			return err
		}
	}
	return nil
}

// routingCall converts the call for the overflow queues.
func (c *call) routingCall(tokens int, resumable, suspect bool) routing.Call {
	return routing.Call{
		Rank:           c.rank,
		Organisation:   c.organisation,
		Weight:         c.weight,
		ExpectedTokens: tokens,
		Deadline:       c.deadline,
		Resumable:      resumable,
		Suspect:        suspect,
	}
}
