package agent

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// maxReportedPrefixes bounds the cached prefixes in a load report.
const maxReportedPrefixes = 8

// endpointState is what the agent knows of its endpoint. Readers on the
// request path use atomics; the control loop writes.
type endpointState struct {
	instance    core.InstanceID
	incarnation uint64

	model atomic.Pointer[core.ModelRef]
	// prefixes are the prompt prefixes that the engine last said it caches.
	// They come late and with gaps, and serve as hints only.
	prefixes atomic.Pointer[[]uint64]

	mu    sync.Mutex // Guards the fields below.
	down  bool
	epoch uint64 // Grows with each recovery from a crash.

	// suspected signals the control loop to look at the endpoint, holds at
	// most one.
	suspected chan struct{}
}

func newEndpointState(instance core.InstanceID, incarnation uint64) *endpointState {
	s := &endpointState{
		instance:    instance,
		incarnation: incarnation,
		suspected:   make(chan struct{}, 1),
	}
	s.model.Store(&core.ModelRef{})
	s.prefixes.Store(&[]uint64{})
	return s
}

// serving returns the model that the endpoint is known to serve whole.
func (s *endpointState) serving() core.ModelRef {
	return *s.model.Load()
}

func (s *endpointState) setServing(m core.ModelRef) {
	s.model.Store(&m)
}

// setPrefixes keeps the newest of the engine's cached prefixes.
func (s *endpointState) setPrefixes(prefixes []uint64) {
	if len(prefixes) > maxReportedPrefixes {
		prefixes = prefixes[len(prefixes)-maxReportedPrefixes:]
	}
	s.prefixes.Store(&prefixes)
}

// suspect asks for a look at the endpoint after a failed call. It returns the
// identifier of the crash, the same for all calls that it broke.
func (s *endpointState) suspect() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	select {
	case s.suspected <- struct{}{}:
	default:
	}
	return fmt.Sprintf("%s/%d/%d", s.instance, s.incarnation, s.epoch)
}

// recovered marks the endpoint as answering again.
func (s *endpointState) recovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.epoch++
	}
	s.down = false
}
