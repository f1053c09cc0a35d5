package agent

import (
	"context"
	"sync"
)

// tasks runs goroutines that end with the agent.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // Guards stopped, and wg against starts after stop.
	stopped bool
	wg      sync.WaitGroup
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// start runs f until it returns; its context ends with the agent. After stop
// it does nothing.
func (t *tasks) start(f func(ctx context.Context)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f(t.ctx)
	}()
}

// stop ends all tasks and blocks until they have returned.
func (t *tasks) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.cancel()
	t.wg.Wait()
}
