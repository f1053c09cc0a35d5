package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// errMigrated cancels an attempt whose stream is resumed at another endpoint
// because its own is about to load other weights.
var errMigrated = eris.New("stream moves off an endpoint that closes")

// errVersionTooOld cancels an attempt that has not started at an endpoint whose
// version may no longer start requests.
var errVersionTooOld = eris.New("request is queued at an endpoint with an outdated version")

// migrationDelay is how long a closed endpoint keeps its streams before they
// migrate: shorter streams end by themselves, and each migration costs a retry.
const migrationDelay = 400 * time.Millisecond

// attemptRegistry holds the cancel functions of attempts by endpoint ID. It is safe
// for concurrent use.
type attemptRegistry struct {
	mu       sync.Mutex
	attempts map[string]map[*request]context.CancelCauseFunc
	closed   map[string]bool // By endpoint ID.
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{attempts: make(map[string]map[*request]context.CancelCauseFunc), closed: make(map[string]bool)}
}

// add registers an attempt; remove unregisters it.
func (r *attemptRegistry) add(endpointID string, req *request, cancel context.CancelCauseFunc) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[endpointID] == nil {
		r.attempts[endpointID] = make(map[*request]context.CancelCauseFunc)
	}
	r.attempts[endpointID][req] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.attempts[endpointID], req)
		if len(r.attempts[endpointID]) == 0 {
			delete(r.attempts, endpointID)
		}
	}
}

// setClosed records whether an endpoint accepts no new requests at present, and
// reports whether it is closed now and was not before.
func (r *attemptRegistry) setClosed(endpointID string, closed bool) (newlyClosed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasClosed := r.closed[endpointID]
	if !closed {
		delete(r.closed, endpointID)
		return false
	}
	r.closed[endpointID] = true
	return !wasClosed
}

// cancelIfClosed cancels the attempts of an endpoint that allowed permits, if the
// endpoint is still closed.
func (r *attemptRegistry) cancelIfClosed(endpointID string, allowed func(*request) bool) (cancelled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed[endpointID] {
		return 0
	}
	for req, cancel := range r.attempts[endpointID] {
		if allowed(req) {
			cancel(errMigrated)
			cancelled++
		}
	}
	return cancelled
}

// cancelAll cancels all attempts of an endpoint.
func (r *attemptRegistry) cancelAll(endpointID string, cause error) (cancelled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.attempts[endpointID] {
		cancel(cause)
		cancelled++
	}
	return cancelled
}

// cancelMatching cancels the attempts of all endpoints that matches selects.
func (r *attemptRegistry) cancelMatching(matches func(*request) bool, cause error) (cancelled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempts := range r.attempts {
		for req, cancel := range attempts {
			if matches(req) {
				cancel(cause)
				cancelled++
			}
		}
	}
	return cancelled
}

// cancelOutdated cancels the attempts that have not started at endpoints whose
// version is older than minVersion.
func (g *Gateway) cancelOutdated(view *directory.View, serviceName string, s *service, minVersion uint64) {
	for id, endpoint := range view.Endpoints {
		if endpoint.Service != serviceName {
			continue
		}
		loadedVersion := uint64(0)
		s.gate.Update(func(p *admission.Pool) { loadedVersion = p.LoadedVersion(time.Now(), id) })
		if loadedVersion == 0 || loadedVersion >= minVersion {
			continue
		}
		if cancelled := g.unstarted.cancelAll(id, errVersionTooOld); cancelled > 0 {
			g.metrics.recordOutdatedCancellations(serviceName, cancelled)
			g.deps.Logger.Info("cancelled requests queued at an endpoint with an outdated version", "endpoint", id, "held", loadedVersion, "oldest", minVersion, "requests", cancelled)
		}
	}
}

// handleClosed records whether an endpoint is closed. Streams that are still open
// there after migrationDelay migrate, so that the endpoint can load other weights
// and accept requests again.
func (g *Gateway) handleClosed(endpointID string, s *service, closed bool) {
	if !g.migratable.setClosed(endpointID, closed) {
		return
	}
	time.AfterFunc(migrationDelay, func() {
		migrated := g.migratable.cancelIfClosed(endpointID, func(*request) bool { return s.retryBudget.allowRetry() })
		if migrated > 0 {
			g.deps.Logger.Info("streams moved off a closing endpoint", "endpoint", endpointID, "streams", migrated)
		}
	})
}
