package runner

import (
	"context"

	"github.com/snipestep/snipestep/core"
)

// component is an entry or an agent that runs inside this process.
type component interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Kill()
	Generation() core.Generation
	ControlBytes() int64
}

// program is a running component.
type program struct {
	component component
	instance  core.Instance
	cancel    context.CancelFunc
	ended     chan struct{}
	err       error // Set before ended is closed.
}

// startProgram runs a component and blocks until it is ready.
func startProgram(c component, instance core.Instance) (*program, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &program{component: c, instance: instance, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = c.Run(ctx)
	}()
	select {
	case <-c.Ready():
		return p, nil
	case <-p.ended:
		cancel()
		return nil, p.err
	}
}

// kill ends the program as a crash would.
func (p *program) kill() {
	p.component.Kill()
	<-p.ended
	p.cancel()
}

// stop ends the program as a planned stop does.
func (p *program) stop() {
	p.cancel()
	<-p.ended
}

// alive reports whether the program still runs.
func (p *program) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
