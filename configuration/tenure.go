package configuration

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// Tenure is one holding of the executor's lease. Its methods may be called
// from any goroutine.
type Tenure struct {
	// Fence is above that of every earlier tenure.
	Fence core.Fence
	// Done is closed when the tenure is over.
	Done <-chan struct{}

	cfg        ExecutorConfig
	lease      backing.LeaseID
	validUntil atomic.Int64 // Unix time in nanoseconds.
	done       chan struct{}
	stop       chan struct{}
	stopOnce   sync.Once
}

func newTenure(cfg ExecutorConfig, lease backing.LeaseID, fence core.Fence, granted time.Time) *Tenure {
	done := make(chan struct{})
	t := &Tenure{
		Fence: fence,
		Done:  done,
		cfg:   cfg,
		lease: lease,
		done:  done,
		stop:  make(chan struct{}),
	}
	t.extend(granted)
	return t
}

// Valid reports whether the lease certainly holds at now. Ask before each
// order: it also turns false while the process was paused, before Done closes.
func (t *Tenure) Valid(now time.Time) bool {
	select {
	case <-t.done:
		return false
	default:
		return now.UnixNano() < t.validUntil.Load()
	}
}

// Resign gives the lease back and waits until that is done.
func (t *Tenure) Resign() {
	t.stopOnce.Do(func() { close(t.stop) })
	<-t.done
}

// extend counts from before the call that prolonged the lease, so that the
// local end is never after the real one.
func (t *Tenure) extend(from time.Time) {
	t.validUntil.Store(from.Add(t.cfg.TTL - t.cfg.Margin).UnixNano())
}

// keep prolongs the lease until it is lost or given back.
func (t *Tenure) keep(ctx context.Context) {
	defer close(t.done)
	defer t.revoke(ctx)
	period := t.cfg.TTL / keepAlivesPerTTL
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.stop:
			return
		case <-t.cfg.Clock.After(period):
		}
		if !t.prolong(ctx) {
			return
		}
	}
}

// prolong reports whether the tenure goes on.
func (t *Tenure) prolong(ctx context.Context) bool {
	started := t.cfg.Clock.Now()
	if !t.Valid(started) {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, min(t.cfg.CallTimeout, t.cfg.TTL/keepAlivesPerTTL))
	defer cancel()
	err := t.cfg.KeyValue.KeepAlive(callCtx, t.lease)
	if errors.Is(err, backing.ErrLeaseNotFound) {
		return false
	}
	if err == nil {
		t.extend(started)
	}
	return t.Valid(t.cfg.Clock.Now())
}

func (t *Tenure) revoke(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = t.cfg.KeyValue.Revoke(callCtx, t.lease)
}
