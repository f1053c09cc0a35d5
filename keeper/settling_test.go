package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All instances come back from a loss of power at the same moment: the list
// shows a few agents first, then all.
func TestListOfAgentsSettlesOnceItStopsGrowing(t *testing.T) {
	var s settling
	start := time.Unix(1000, 0)
	at := start.Add
	assert.Assert(t, !s.see(at(0), "a", nil))
	assert.Assert(t, !s.see(at(settleQuiet), "a", []string{"b"}), "grows")
	assert.Assert(t, !s.see(at(2*settleQuiet), "a", []string{"b"}), "does not show the agent itself")
	assert.Assert(t, !s.see(at(2*settleQuiet+1), "a", []string{"a", "b"}), "grows")
	assert.Assert(t, !s.see(at(3*settleQuiet), "a", []string{"a", "b"}), "not quiet for long enough")
	assert.Assert(t, s.see(at(3*settleQuiet+1), "a", []string{"a", "b"}))
	assert.Assert(t, s.see(at(4*settleQuiet), "a", nil), "for good")
}

func TestListThatKeepsChangingIsUsedInTheEnd(t *testing.T) {
	var s settling
	start := time.Unix(1000, 0)
	for d := time.Duration(0); d < settleMost; d += settleQuiet / 2 {
		assert.Assert(t, !s.see(start.Add(d), "a", []string{d.String()}))
	}
	assert.Assert(t, s.see(start.Add(settleMost), "a", nil))
}
