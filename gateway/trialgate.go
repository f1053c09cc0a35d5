package gateway

import "sync"

// trialGate lets one request at a time try whether a fingerprint whose quarantine has ended
// still crashes endpoints. It is safe for concurrent use.
type trialGate struct {
	mu      sync.Mutex
	running map[uint64]*request // By fingerprint.
}

func newTrialGate() *trialGate {
	return &trialGate{running: make(map[uint64]*request)}
}

// start reports whether the request may run as the trial of a fingerprint. It holds the
// trial until end.
func (t *trialGate) start(req *request, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if holder := t.running[fingerprint]; holder != nil {
		return holder == req
	}
	t.running[fingerprint] = req
	req.trials = append(req.trials, fingerprint)
	return true
}

// end ends the trials of a request.
func (t *trialGate) end(req *request) {
	if len(req.trials) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, fingerprint := range req.trials {
		delete(t.running, fingerprint)
	}
	req.trials = nil
}
