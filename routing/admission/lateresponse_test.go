package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a rate limit of an endpoint that restarted under its ID: the response of the
// incarnation before arrives late.
func TestLateRateLimitOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	p := plainPool("a")
	listPlain(p, at(0), 2, "a")
	_, changed := p.RecordRateLimit(first("a"), RateLimitNotice{Limited: true, PerSecond: 1, At: at(1)})
	assert.Assert(t, !changed)
	assert.Assert(t, !p.HoldsNotices())
}

// Guards against a pause of an endpoint that restarted under its ID: the response of the
// incarnation before arrives late.
func TestLatePauseOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	p := plainPool("a")
	listPlain(p, at(0), 2, "a")
	assert.Assert(t, !p.Rest(at(1), first("a"), at(5000)))
	assert.Assert(t, !p.Resting(at(1), "a"))
	assert.Assert(t, !p.HoldsNotices())
}
