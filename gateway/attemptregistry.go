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

// registeredAttempt is an attempt in an attemptRegistry.
type registeredAttempt struct {
	cancel context.CancelCauseFunc
	// chosenVersion is the version of the weights that was loaded at the endpoint when it
	// was chosen, 0 for a service without weights.
	chosenVersion uint64
	// since is when the attempt was registered.
	since time.Time
	// move moves the attempt to another endpoint, nil if it may not.
	move *attemptMove
}

// attemptRegistry holds attempts by endpoint ID. It is safe for concurrent use.
type attemptRegistry struct {
	// mu may be held while the lock of an attemptMove is taken.
	mu       sync.Mutex
	attempts map[string]map[*request]registeredAttempt
	closed   map[string]bool // By endpoint ID.
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{attempts: make(map[string]map[*request]registeredAttempt), closed: make(map[string]bool)}
}

// add registers the attempt of a grant; remove unregisters it.
func (r *attemptRegistry) add(grant *admission.Grant, req *request, cancel context.CancelCauseFunc, move *attemptMove) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpointID := grant.EndpointID
	if r.attempts[endpointID] == nil {
		r.attempts[endpointID] = make(map[*request]registeredAttempt)
	}
	r.attempts[endpointID][req] = registeredAttempt{cancel: cancel, chosenVersion: grant.Estimate.LoadedVersion, since: time.Now(), move: move}
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
// reports whether it is closed now and was not before. Streams stay at one that opens.
func (r *attemptRegistry) setClosed(endpointID string, closed bool) (newlyClosed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasClosed := r.closed[endpointID]
	if !closed {
		delete(r.closed, endpointID)
		if wasClosed {
			for _, attempt := range r.attempts[endpointID] {
				attempt.move.stop(errMigrated)
			}
		}
		return false
	}
	r.closed[endpointID] = true
	return !wasClosed
}

// moveIfClosed moves the attempts of an endpoint, if it is still closed. It returns how many
// were moved at once and how many stay as long as there is no slot for them.
func (r *attemptRegistry) moveIfClosed(endpointID string) (moved, staying int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed[endpointID] {
		return 0, 0
	}
	for _, attempt := range r.attempts[endpointID] {
		if attempt.move.start(errMigrated) {
			moved++
		} else {
			staying++
		}
	}
	return moved, staying
}

// endpointsOf returns the endpoints with attempts of a service.
func (r *attemptRegistry) endpointsOf(serviceName string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, attempts := range r.attempts {
		for req := range attempts {
			if req.service.name == serviceName {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

// cancelOutdated cancels the attempts of a service at an endpoint that has loaded a
// version older than minVersion. If loadedVersion is 0, the version is not known, and
// that at the time of the choice counts.
func (r *attemptRegistry) cancelOutdated(endpointID, serviceName string, loadedVersion, minVersion uint64) (cancelled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for req, attempt := range r.attempts[endpointID] {
		version := loadedVersion
		if version == 0 {
			version = attempt.chosenVersion
		}
		if req.service.name == serviceName && version < minVersion {
			attempt.cancel(errVersionTooOld)
			cancelled++
		}
	}
	return cancelled
}

// cancelMatching cancels the attempts of all endpoints that matches selects.
func (r *attemptRegistry) cancelMatching(matches func(*request) bool, cause error) (cancelled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempts := range r.attempts {
		for req, attempt := range attempts {
			if matches(req) {
				attempt.cancel(cause)
				cancelled++
			}
		}
	}
	return cancelled
}

// cancelOutdated cancels the attempts of a service that have not started at endpoints
// whose version is older than minVersion, also at endpoints that are no longer listed:
// their engines may still start a queued request.
func (g *Gateway) cancelOutdated(view *directory.View, serviceName string, s *service, minVersion uint64) {
	for _, id := range g.unstarted.endpointsOf(serviceName) {
		loadedVersion := uint64(0)
		s.gate.Update(func(p *admission.Pool) { loadedVersion = p.LoadedVersion(time.Now(), id) })
		if cancelled := g.unstarted.cancelOutdated(id, serviceName, loadedVersion, minVersion); cancelled > 0 {
			g.metrics.recordOutdatedCancellations(serviceName, cancelled)
			g.deps.Logger.Info("cancelled requests queued at an endpoint with an outdated version", "endpoint", id, "listed", view.Endpoints[id] != nil, "held", loadedVersion, "oldest", minVersion, "requests", cancelled)
		}
	}
}

// handleClosed records whether an endpoint is closed. Streams that are still open
// there after migrationDelay migrate, so that the endpoint can load other weights
// and accept requests again. It loads after its requests have ended, so that a stream
// for which there is no slot elsewhere ends there.
func (g *Gateway) handleClosed(endpointID string, closed bool) {
	if !g.migratable.setClosed(endpointID, closed) {
		return
	}
	time.AfterFunc(migrationDelay, func() {
		moved, staying := g.migratable.moveIfClosed(endpointID)
		if moved+staying > 0 {
			g.deps.Logger.Info("streams move off a closing endpoint", "endpoint", endpointID, "moved", moved, "staying", staying)
		}
	})
}
