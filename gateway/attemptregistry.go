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

// migrationDelay is how long a closing endpoint keeps its streams before they
// migrate: shorter streams end by themselves, and each migration costs a retry.
const migrationDelay = 400 * time.Millisecond

// attemptRegistry holds cancellable attempts by endpoint. It is safe for
// concurrent use.
type attemptRegistry struct {
	mu       sync.Mutex
	attempts map[string]map[*request]context.CancelCauseFunc
	closing  map[string]bool
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{attempts: make(map[string]map[*request]context.CancelCauseFunc), closing: make(map[string]bool)}
}

// add registers an attempt; remove unregisters it.
func (r *attemptRegistry) add(endpoint string, req *request, cancel context.CancelCauseFunc) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[endpoint] == nil {
		r.attempts[endpoint] = make(map[*request]context.CancelCauseFunc)
	}
	r.attempts[endpoint][req] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.attempts[endpoint], req)
		if len(r.attempts[endpoint]) == 0 {
			delete(r.attempts, endpoint)
		}
	}
}

// setClosing records whether an endpoint is closing and reports whether it has
// just begun to.
func (r *attemptRegistry) setClosing(endpoint string, closing bool) (began bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasClosing := r.closing[endpoint]
	if !closing {
		delete(r.closing, endpoint)
		return false
	}
	r.closing[endpoint] = true
	return !wasClosing
}

// cancelClosing cancels the allowed attempts of an endpoint that is still
// closing.
func (r *attemptRegistry) cancelClosing(endpoint string, allowed func(*request) bool) (cancelled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closing[endpoint] {
		return 0
	}
	for req, cancel := range r.attempts[endpoint] {
		if allowed(req) {
			cancel(errMigrated)
			cancelled++
		}
	}
	return cancelled
}

// cancelAll cancels all attempts of an endpoint.
func (r *attemptRegistry) cancelAll(endpoint string, cause error) (cancelled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.attempts[endpoint] {
		cancel(cause)
		cancelled++
	}
	return cancelled
}

// cancelOutdated cancels the attempts that have not started at endpoints whose
// version is older than minVersion.
func (g *Gateway) cancelOutdated(v *directory.View, serviceName string, s *service, minVersion uint64) {
	for id, e := range v.Endpoints {
		if e.Service != serviceName {
			continue
		}
		loadedVersion := uint64(0)
		s.gate.Update(func(p *admission.Pool) { loadedVersion = p.LoadedVersion(time.Now(), id) })
		if loadedVersion == 0 || loadedVersion >= minVersion {
			continue
		}
		if cancelled := g.unstarted.cancelAll(id, errVersionTooOld); cancelled > 0 {
			g.deps.Logger.Info("cancelled requests queued at an endpoint with an outdated version", "endpoint", id, "held", loadedVersion, "oldest", minVersion, "requests", cancelled)
		}
	}
}

// handleClosing records whether an endpoint is closing. Streams still open there
// after migrationDelay migrate, so that the endpoint can load and reopen.
func (g *Gateway) handleClosing(endpoint string, s *service, closing bool) {
	if !g.migratable.setClosing(endpoint, closing) {
		return
	}
	time.AfterFunc(migrationDelay, func() {
		moved := g.migratable.cancelClosing(endpoint, func(*request) bool { return s.budget.allowRetry() })
		if moved > 0 {
			g.deps.Logger.Info("streams moved off a closing endpoint", "endpoint", endpoint, "streams", moved)
		}
	})
}
