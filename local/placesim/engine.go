package placesim

import "time"

// EngineConfig is what a deployment publishes of its engines.
type EngineConfig struct {
	Slots int
	// Pass is how long a full engine takes for one event of each request.
	Pass time.Duration
	// ReadRate is the prompt tokens that it reads a second.
	ReadRate float64
}

// usualEngine is the engine of the deployments known: passes of six steps of
// 7.2 ms, 30.6 prompt tokens a millisecond.
func usualEngine() EngineConfig {
	return EngineConfig{Slots: 16, Pass: 43 * time.Millisecond, ReadRate: 30_600}
}

// request is one stream on its way.
type request struct {
	id      uint64
	kind    int
	entry   int
	arrived time.Time
	prompt  float64 // Tokens.
	events  int     // Still to come.
	first   time.Time
}

// engine runs requests in passes. Prompts are read in front of a pass, which
// delays every event of it.
type engine struct {
	config  EngineConfig
	running []*request
	waiting []*request
	ends    time.Time // Of the pass under way.
}

// load returns the requests in places and in the queue.
func (e *engine) load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// advance runs all passes that end by now. began and ended are called for each
// request's first and last event.
func (e *engine) advance(now time.Time, began, ended func(*request)) {
	for !e.ends.After(now) {
		e.endPass(began, ended)
		e.ends = e.ends.Add(e.nextPass())
	}
}

// endPass makes one event of each running request.
func (e *engine) endPass(began, ended func(*request)) {
	kept := e.running[:0]
	for _, r := range e.running {
		if r.first.IsZero() {
			r.first = e.ends
			began(r)
		}
		r.events--
		if r.events <= 0 {
			ended(r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
}

// nextPass lets waiting requests in and returns the length of the pass.
func (e *engine) nextPass() time.Duration {
	pass := e.config.Pass
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		pass += time.Duration(r.prompt / e.config.ReadRate * float64(time.Second))
	}
	return pass
}
