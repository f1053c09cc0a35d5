package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
)

// drainingEngine accepts a load order, and begins to load only when drained is closed.
type drainingEngine struct {
	*fakeEngine
	ordered, drained chan struct{}
}

func (e *drainingEngine) Load(ctx context.Context, model string, version, ordersStarted uint64) error {
	close(e.ordered)
	select {
	case <-e.drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	return e.fakeEngine.Load(ctx, model, version, ordersStarted)
}

// Guards against an engine that is late with a version: its download did not begin while
// the engine, busy with long streams, was switching to the version before.
func TestVersionDeclaredDuringASwitchIsDownloadedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &drainingEngine{
			fakeEngine: &fakeEngine{staged: map[int][]byte{}, state: EngineState{LoadedVersion: 1}},
			ordered:    make(chan struct{}), drained: make(chan struct{}),
		}
		r := newReconciler(t, engine, 2)
		r.deps.Directory.SetDocument(&directory.Document{Version: 1, Services: map[string]*directory.Service{"lm": testService}})
		r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(2, time.Now()))
		r.engineState.Store(&EngineState{LoadedVersion: 1})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			r.reconcileLoop(ctx)
		}()
		<-engine.ordered
		r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(3, time.Now()))
		time.Sleep(2 * reconcileInterval)
		r.mu.Lock()
		begun := r.downloads[3] != nil
		r.mu.Unlock()
		assert.Assert(t, begun)

		close(engine.drained)
		time.Sleep(2 * reconcileInterval)
		assert.Equal(t, r.engineState.Load().LoadedVersion, uint64(2))
		assert.Assert(t, !r.switching.Load())
		stop()
		<-stopped
	})
}
