package gateway

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// recordSlowdown records how slow the endpoint of a response says it is.
func (g *Gateway) recordSlowdown(service *service, attempt *endpointAttempt) {
	if !g.config.UseSlowdown {
		return
	}
	if problem := attempt.metadata.SlowdownError; problem != "" && g.slowdownErrors.isNew(attempt.endpoint.ID, problem) {
		g.deps.Logger.Warn("unusable slowdown in a response", "endpoint", attempt.endpoint.ID, "service", service.name, "error", string(problem))
	}
	if attempt.metadata.Slowdown == 0 {
		return
	}
	now := time.Now()
	service.gate.Inspect(func(p *admission.Pool) {
		p.RecordSlowdown(incarnationOf(attempt.endpoint), now, attempt.metadata.Slowdown)
	})
}

// maxSlowdownErrors bounds how many errors are remembered; later ones are not logged.
const maxSlowdownErrors = 4096

// slowdownErrors tells which errors in figures of slowdown were logged, so that each is logged
// once for each endpoint. It is safe for concurrent use.
type slowdownErrors struct {
	mu     sync.Mutex
	logged map[endpointSlowdownError]struct{}
}

type endpointSlowdownError struct {
	endpointID string
	problem    SlowdownError
}

func newSlowdownErrors() *slowdownErrors {
	return &slowdownErrors{logged: make(map[endpointSlowdownError]struct{})}
}

// isNew records an error and reports whether it is to be logged.
func (s *slowdownErrors) isNew(endpointID string, problem SlowdownError) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := endpointSlowdownError{endpointID: endpointID, problem: problem}
	if _, known := s.logged[key]; known || len(s.logged) >= maxSlowdownErrors {
		return false
	}
	s.logged[key] = struct{}{}
	return true
}
