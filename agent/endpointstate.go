package agent

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// maxCachedPrefixes limits the cached prefixes that the agent keeps.
const maxCachedPrefixes = 8

// endpointState is what the agent knows about its endpoint. The controller and
// its swap tasks write model and cachedPrefixes, which are read without a lock.
type endpointState struct {
	instance    core.InstanceID
	incarnation uint64

	model atomic.Pointer[core.ModelRef]
	// cachedPrefixes are the hashes of the prompt prefixes that the engine last
	// reported as cached. They lag and are incomplete, so they are only hints.
	cachedPrefixes atomic.Pointer[[]uint64]

	mu         sync.Mutex // Guards the fields below.
	down       bool
	crashEpoch uint64 // Grows with each recovery from a crash.

	// checkRequested asks the controller to check the endpoint. It buffers at most
	// one signal.
	checkRequested chan struct{}
}

func newEndpointState(instance core.InstanceID, incarnation uint64) *endpointState {
	s := &endpointState{
		instance:       instance,
		incarnation:    incarnation,
		checkRequested: make(chan struct{}, 1),
	}
	s.model.Store(&core.ModelRef{})
	s.cachedPrefixes.Store(&[]uint64{})
	return s
}

// serving returns the model that the endpoint is known to serve completely.
func (s *endpointState) serving() core.ModelRef {
	return *s.model.Load()
}

func (s *endpointState) setServing(m core.ModelRef) {
	s.model.Store(&m)
}

// setCachedPrefixes stores the newest of the engine's cached prefixes.
func (s *endpointState) setCachedPrefixes(prefixes []uint64) {
	if len(prefixes) > maxCachedPrefixes {
		prefixes = prefixes[len(prefixes)-maxCachedPrefixes:]
	}
	s.cachedPrefixes.Store(&prefixes)
}

// markDown requests a check of the endpoint after a failed call. It returns the
// identifier of the crash, which is the same for all calls that the crash broke.
func (s *endpointState) markDown() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	select {
	case s.checkRequested <- struct{}{}:
	default:
	}
	return fmt.Sprintf("%s/%d/%d", s.instance, s.incarnation, s.crashEpoch)
}

// markUp records that the endpoint answers again.
func (s *endpointState) markUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.crashEpoch++
	}
	s.down = false
}
