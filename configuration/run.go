package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/fleet"
)

// Run keeps the holder and the service synchronised until ctx ends, with one
// watch at a time. During outages it retries with jittered exponential backoff.
func (s *Store) Run(ctx context.Context) {
	backOff := newBackOff()
	for ctx.Err() == nil {
		err := s.syncAndWatch(ctx, backOff.Reset)
		if err == nil {
			continue
		}
		delay := backOff.NextBackOff()
		s.logFailure(ctx, err, delay)
		_ = s.cfg.Clock.wait(ctx, delay)
	}
}

func (s *Store) logFailure(ctx context.Context, err error, delay time.Duration) {
	if ctx.Err() != nil {
		return
	}
	s.cfg.Logger.WarnContext(ctx, "configuration cannot be synchronised with the key-value service",
		"error", err.Error(), "retry_ms", delay.Milliseconds())
}

// syncAndWatch synchronises once and watches until something changes.
func (s *Store) syncAndWatch(ctx context.Context, onSynced func()) error {
	current, err := s.sync(ctx)
	if err != nil {
		return err
	}
	changed := s.holder.Changed()
	if s.holder.Generation() != current.generation() {
		return nil
	}
	if current.version != 0 {
		onSynced()
	}
	return s.watch(ctx, current.version, changed)
}

// watch blocks until the key or the holder's document changes, or the watch has
// been silent for WatchTimeout.
func (s *Store) watch(ctx context.Context, version uint64, changed <-chan struct{}) error {
	watchCtx, cancel := context.WithTimeout(ctx, s.cfg.WatchTimeout)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	entry, err := s.cfg.KeyValue.Watch(watchCtx, DocumentKey, version)
	if errors.Is(err, backing.ErrKeyNotFound) && version != 0 {
		return nil
	}
	if err != nil {
		if watchCtx.Err() != nil {
			return nil
		}
		return eris.Wrap(err, "watch configuration")
	}
	doc, err := fleet.DecodeDocument(entry.Value)
	if err != nil {
		return eris.Wrapf(err, "version %d in the key-value service", entry.Version)
	}
	s.holder.Apply(doc)
	return nil
}
