package places

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testGate() *Gate {
	now := func() time.Time { return at(1) }
	return NewGate(enginePool(1, "a"), now)
}

func TestHeldCallerGetsTheFreedPlace(t *testing.T) {
	g := testGate()
	var grants []*Grant
	for range 4 {
		grant, err := g.Acquire(t.Context(), *ask(at(1), 0))
		assert.NilError(t, err)
		grants = append(grants, grant)
	}
	got := make(chan error, 1)
	go func() {
		a := ask(at(1), 0)
		a.GiveUp = at(1).Add(time.Hour)
		a.OnTimeUntil = a.GiveUp
		_, err := g.Acquire(context.Background(), *a)
		got <- err
	}()
	for waiting := 0; waiting == 0; {
		g.Change(func(p *Pool) { waiting = p.Waiting() })
	}
	grants[0].Done(Served)
	assert.NilError(t, <-got)
}

func TestCallerThatLeavesWaitsNoLonger(t *testing.T) {
	g := testGate()
	for range 4 {
		_, err := g.Acquire(t.Context(), *ask(at(1), 0))
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := g.Acquire(ctx, *ask(at(1), 0))
	assert.Assert(t, errors.Is(err, context.Canceled))
	g.Change(func(p *Pool) { assert.Equal(t, p.Waiting(), 0) })
}

func TestRefusedCallerLearnsWhenToComeBack(t *testing.T) {
	g := testGate()
	g.Change(func(p *Pool) { p.SetEndpoints(at(0), nil) })
	_, err := g.Acquire(t.Context(), *ask(at(1), 0))
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Assert(t, refused.RetryAfter > 0)
}
