package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All instances restart at the same moment after a power failure: the list contains
// only a few agents at first, then all.
func TestMembershipSettlesAfterQuietPeriod(t *testing.T) {
	var m membershipDebounce
	start := time.Unix(1000, 0)
	at := start.Add
	assert.Assert(t, !m.observe(at(0), "a", nil))
	assert.Assert(t, !m.observe(at(membershipQuietPeriod), "a", []string{"b"}), "the list grows")
	assert.Assert(t, !m.observe(at(2*membershipQuietPeriod), "a", []string{"b"}), "the list lacks the agent itself")
	assert.Assert(t, !m.observe(at(2*membershipQuietPeriod+1), "a", []string{"a", "b"}), "the list grows")
	assert.Assert(t, !m.observe(at(3*membershipQuietPeriod), "a", []string{"a", "b"}), "not quiet for long enough")
	assert.Assert(t, m.observe(at(3*membershipQuietPeriod+1), "a", []string{"a", "b"}))
	assert.Assert(t, m.observe(at(4*membershipQuietPeriod), "a", nil), "stays settled")
}

func TestChangingMembershipSettlesAtMaxWait(t *testing.T) {
	var m membershipDebounce
	start := time.Unix(1000, 0)
	for d := time.Duration(0); d < membershipMaxWait; d += membershipQuietPeriod / 2 {
		assert.Assert(t, !m.observe(start.Add(d), "a", []string{d.String()}))
	}
	assert.Assert(t, m.observe(start.Add(membershipMaxWait), "a", nil))
}
