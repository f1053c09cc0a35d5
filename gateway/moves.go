package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/places"
)

// errMoved ends an attempt whose stream goes on at another endpoint, because
// its own one is about to load other weights.
var errMoved = eris.New("stream moves off an endpoint that closes")

// errOutdated ends an attempt that has not begun at an endpoint whose version
// must not begin requests any more.
var errOutdated = eris.New("request waits at an endpoint with an old version")

// moveAfter is how long a closing endpoint may go on with its streams before
// they move: the shorter ones end by themselves, and each move is a repeat.
const moveAfter = 400 * time.Millisecond

// moves holds the streams that can move, by endpoint. It is safe for
// concurrent use.
type moves struct {
	mu      sync.Mutex
	streams map[string]map[*request]context.CancelCauseFunc
	closed  map[string]bool
}

func newMoves() *moves {
	return &moves{streams: make(map[string]map[*request]context.CancelCauseFunc), closed: make(map[string]bool)}
}

// add registers a stream; the result removes it again.
func (m *moves) add(endpoint string, req *request, cancel context.CancelCauseFunc) (remove func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streams[endpoint] == nil {
		m.streams[endpoint] = make(map[*request]context.CancelCauseFunc)
	}
	m.streams[endpoint][req] = cancel
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.streams[endpoint], req)
		if len(m.streams[endpoint]) == 0 {
			delete(m.streams, endpoint)
		}
	}
}

// setClosed notes whether an endpoint closes and reports whether that began.
func (m *moves) setClosed(endpoint string, closed bool) (began bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.closed[endpoint]
	if !closed {
		delete(m.closed, endpoint)
		return false
	}
	m.closed[endpoint] = true
	return !was
}

// cancel ends the attempts of an endpoint that is still closing, as far as
// allowed says.
func (m *moves) cancel(endpoint string, allowed func(*request) bool) (moved int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed[endpoint] {
		return 0
	}
	for req, cancel := range m.streams[endpoint] {
		if allowed(req) {
			cancel(errMoved)
			moved++
		}
	}
	return moved
}

// cancelAll ends the attempts of an endpoint.
func (m *moves) cancelAll(endpoint string, cause error) (ended int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cancel := range m.streams[endpoint] {
		cancel(cause)
		ended++
	}
	return ended
}

// endOutdated ends the attempts that have not begun at endpoints whose version
// is older than oldest.
func (g *Gateway) endOutdated(v *directory.View, name string, s *service, oldest uint64) {
	for id, e := range v.Endpoints {
		if e.Service != name {
			continue
		}
		held := uint64(0)
		s.gate.Change(func(p *places.Pool) { held = p.Held(time.Now(), id) })
		if held == 0 || held >= oldest {
			continue
		}
		if ended := g.waiting.cancelAll(id, errOutdated); ended > 0 {
			g.deps.Logger.Info("requests taken off an endpoint with an old version", "endpoint", id, "held", held, "oldest", oldest, "requests", ended)
		}
	}
}

// noteClosed takes in whether an endpoint closes. Streams that are still there
// a while later go on elsewhere, so that the endpoint can load and come back.
func (g *Gateway) noteClosed(endpoint string, s *service, closed bool) {
	if !g.moves.setClosed(endpoint, closed) {
		return
	}
	time.AfterFunc(moveAfter, func() {
		moved := g.moves.cancel(endpoint, func(*request) bool { return s.budget.retry() })
		if moved > 0 {
			g.deps.Logger.Info("streams moved off a closing endpoint", "endpoint", endpoint, "streams", moved)
		}
	})
}
