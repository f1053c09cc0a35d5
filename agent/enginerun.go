package agent

import (
	"context"
	"errors"
	"sync"
)

// engineRun is one attempt at the engine. An interruption cancels the attempt
// at the engine before the connection is closed, so that the engine never sees
// an unannounced disconnect.
type engineRun struct {
	runner  *modelRunner
	job     *job
	callCtx context.Context // Ends when the call is interrupted.
	// streamCtx ends once the attempt is cancelled at the engine, or in finish.
	streamCtx    context.Context
	cancelStream context.CancelFunc

	stopInterrupt func() bool
	interrupted   chan struct{}
	finishOnce    sync.Once
	cacheHandle   string // Names the exported KV cache; read it after finish.
}

func newEngineRun(callCtx context.Context, runner *modelRunner, j *job) *engineRun {
	r := &engineRun{runner: runner, job: j, callCtx: callCtx, interrupted: make(chan struct{})}
	r.streamCtx, r.cancelStream = context.WithCancel(context.WithoutCancel(callCtx))
	r.stopInterrupt = context.AfterFunc(callCtx, r.interrupt)
	return r
}

// interrupt cancels the attempt at the engine. The KV cache of a call that moves
// to another endpoint is exported first.
func (r *engineRun) interrupt() {
	defer close(r.interrupted)
	defer r.cancelStream()
	if errors.Is(context.Cause(r.callCtx), errMoved) {
		r.cacheHandle = r.runner.exportCache(r.job)
	}
	r.runner.cancelAtEngine(r.job)
}

// finish ends the run. It blocks until an interruption in progress is done.
func (r *engineRun) finish() {
	r.finishOnce.Do(func() {
		if !r.stopInterrupt() {
			<-r.interrupted
		}
		r.cancelStream()
	})
}
