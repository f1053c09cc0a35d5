package agent

import (
	"context"
	"errors"
	"sync"
)

// engineRun is one attempt at the engine. An interruption cancels the attempt
// at the engine before the connection is dropped, so that the engine never
// sees a caller vanish.
type engineRun struct {
	runner *modelRunner
	job    *job
	call   context.Context // Ends when the call is interrupted.
	// stream ends once the engine has been told.
	stream context.Context
	drop   context.CancelFunc

	unhook  func() bool
	stopped chan struct{}
	once    sync.Once
	handle  string // Of the exported KV cache, after finish.
}

func newEngineRun(call context.Context, m *modelRunner, j *job) *engineRun {
	r := &engineRun{runner: m, job: j, call: call, stopped: make(chan struct{})}
	r.stream, r.drop = context.WithCancel(context.WithoutCancel(call))
	r.unhook = context.AfterFunc(call, r.interrupt)
	return r
}

// interrupt ends the attempt at the engine. The KV cache of a call that moves
// is exported first.
func (r *engineRun) interrupt() {
	defer close(r.stopped)
	defer r.drop()
	if errors.Is(context.Cause(r.call), errMoved) {
		r.handle = r.runner.exportCache(r.job)
	}
	r.runner.cancelAtEngine(r.job)
}

// finish ends the run. It blocks until an interruption under way is done.
func (r *engineRun) finish() {
	r.once.Do(func() {
		if !r.unhook() {
			<-r.stopped
		}
		r.drop()
	})
}
