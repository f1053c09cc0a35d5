package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTestGate() *Gate {
	now := func() time.Time { return at(1) }
	return NewGate(enginePool(1, "a"), now)
}

func TestQueuedCallerGetsTheFreedSlot(t *testing.T) {
	g := newTestGate()
	var grants []*Grant
	for range 4 {
		grant, err := g.Acquire(t.Context(), *newRequest(at(1), 0))
		assert.NilError(t, err)
		grants = append(grants, grant)
	}
	acquired := make(chan error, 1)
	go func() {
		req := newRequest(at(1), 0)
		req.HardDeadline = at(1).Add(time.Hour)
		req.SoftDeadline = req.HardDeadline
		_, err := g.Acquire(context.Background(), *req)
		acquired <- err
	}()
	for waiting := 0; waiting == 0; {
		g.Update(func(p *Pool) { waiting = p.Waiting() })
	}
	grants[0].Done(Served)
	assert.NilError(t, <-acquired)
}

func TestCancelledCallerLeavesTheQueue(t *testing.T) {
	g := newTestGate()
	for range 4 {
		_, err := g.Acquire(t.Context(), *newRequest(at(1), 0))
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := g.Acquire(ctx, *newRequest(at(1), 0))
	assert.Assert(t, errors.Is(err, context.Canceled))
	g.Update(func(p *Pool) { assert.Equal(t, p.Waiting(), 0) })
}

func TestRefusedCallerGetsARetryTime(t *testing.T) {
	g := newTestGate()
	g.Update(func(p *Pool) { p.SetEndpoints(at(0), nil) })
	_, err := g.Acquire(t.Context(), *newRequest(at(1), 0))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Assert(t, refused.RetryAfter > 0)
}

func TestRefusalHasTheMinimumVersion(t *testing.T) {
	g := newTestGate()
	g.Update(func(p *Pool) { p.SetMinVersion(2) })
	minVersion := func(change func(*Request)) uint64 {
		req := newRequest(at(1), 0)
		change(req)
		_, err := g.Acquire(t.Context(), *req)
		var refused *RefusedError
		assert.Assert(t, errors.As(err, &refused))
		return refused.MinVersion
	}
	refusedAtOnce := func(*Request) {}
	assert.Equal(t, minVersion(refusedAtOnce), uint64(2))
	refusedAfterWait := func(req *Request) {
		req.Resumed = true
		req.HardDeadline = at(2)
	}
	assert.Equal(t, minVersion(refusedAfterWait), uint64(2))
}
