package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log line for each response of an endpoint with an odd figure.
func TestSlowdownErrorIsNewOnceForEachEndpointAndKind(t *testing.T) {
	s := newSlowdownErrors()
	assert.Assert(t, s.isNew("a", SlowdownMalformed))
	assert.Assert(t, !s.isNew("a", SlowdownMalformed))
	assert.Assert(t, s.isNew("a", SlowdownOutOfRange))
	assert.Assert(t, s.isNew("b", SlowdownMalformed))
}
