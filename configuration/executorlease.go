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

// ExecutorLease is the executor's lease as held by this entry. Its methods may be
// called from any goroutine.
type ExecutorLease struct {
	// Fence is higher than that of every earlier lease.
	Fence core.Fence
	// Done is closed when the lease has ended.
	Done <-chan struct{}

	cfg         ElectionConfig
	id          backing.LeaseID
	validUntil  atomic.Pointer[time.Time]
	done        chan struct{}
	release     chan struct{}
	releaseOnce sync.Once
}

func newExecutorLease(cfg ElectionConfig, id backing.LeaseID, fence core.Fence, grantedAt time.Time) *ExecutorLease {
	done := make(chan struct{})
	l := &ExecutorLease{
		Fence:   fence,
		Done:    done,
		cfg:     cfg,
		id:      id,
		done:    done,
		release: make(chan struct{}),
	}
	l.extend(grantedAt)
	return l
}

// Valid reports whether the lease is certainly held. It must be checked before each
// order: after a pause of the process it may be false before Done is closed.
func (l *ExecutorLease) Valid() bool {
	select {
	case <-l.done:
		return false
	default:
		return l.cfg.Clock.Now().Before(*l.validUntil.Load())
	}
}

// Release revokes the lease, so that another entry can acquire it at once, and
// blocks until that call has ended and Done is closed.
func (l *ExecutorLease) Release() {
	l.releaseOnce.Do(func() { close(l.release) })
	<-l.done
}

// extend sets validUntil relative to the start of the call that granted or renewed
// the lease, so that the local end is never after the real one.
func (l *ExecutorLease) extend(startedAt time.Time) {
	validUntil := startedAt.Add(l.cfg.TTL - l.cfg.SafetyMargin)
	l.validUntil.Store(&validUntil)
}

// keepAlive renews the lease until it is lost or released, and then revokes it.
func (l *ExecutorLease) keepAlive(ctx context.Context) {
	defer close(l.done)
	defer l.revoke(ctx)
	interval := l.cfg.TTL / keepAlivesPerTTL
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.release:
			return
		case <-l.cfg.Clock.After(interval):
		}
		if !l.renew(ctx) {
			return
		}
	}
}

// renew tries to renew the lease once and reports whether it is still valid.
func (l *ExecutorLease) renew(ctx context.Context) bool {
	startedAt := l.cfg.Clock.Now()
	if !l.Valid() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, min(l.cfg.CallTimeout, l.cfg.TTL/keepAlivesPerTTL))
	defer cancel()
	err := l.cfg.KeyValue.KeepAlive(callCtx, l.id)
	if errors.Is(err, backing.ErrLeaseNotFound) {
		return false
	}
	if err == nil {
		l.extend(startedAt)
	}
	return l.Valid()
}

func (l *ExecutorLease) revoke(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = l.cfg.KeyValue.Revoke(callCtx, l.id)
}
