package runner

import (
	"context"

	"github.com/snipestep/snipestep/core"
)

// role is an entry or an agent as a library.
type role interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Kill()
	Generation() core.Generation
	ControlBytes() int64
}

// program is a running role.
type program struct {
	role     role
	instance core.Instance
	leave    context.CancelFunc
	ended    chan struct{}
	err      error // Set before ended is closed.
}

// startProgram runs a role and blocks until it is ready.
func startProgram(r role, instance core.Instance) (*program, error) {
	ctx, leave := context.WithCancel(context.Background())
	p := &program{role: r, instance: instance, leave: leave, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = r.Run(ctx)
	}()
	select {
	case <-r.Ready():
		return p, nil
	case <-p.ended:
		leave()
		return nil, p.err
	}
}

// kill ends the program as a crash would.
func (p *program) kill() {
	p.role.Kill()
	<-p.ended
	p.leave()
}

// stop ends the program as a planned stop does.
func (p *program) stop() {
	p.leave()
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
