package admissionsim

import "time"

// EngineConfig describes an engine as a deployment publishes it.
type EngineConfig struct {
	Slots int
	// PassDuration is how long a full engine takes for one event of each request.
	PassDuration           time.Duration
	PrefillTokensPerSecond float64
}

// typicalEngine is the engine of the known deployments: passes of six steps of
// 7.2 ms, and 30.6 prompt tokens per millisecond.
func typicalEngine() EngineConfig {
	return EngineConfig{Slots: 16, PassDuration: 43 * time.Millisecond, PrefillTokensPerSecond: 30_600}
}

// request is a request for a streamed response.
type request struct {
	id           uint64
	kindIndex    int // In Pattern.Kinds; also the rank.
	entryIndex   int
	arrivedAt    time.Time
	promptTokens float64
	eventsLeft   int
	firstEventAt time.Time
}

// engine runs its requests in passes. The prefill of new requests precedes a pass
// and delays all of its events.
type engine struct {
	config  EngineConfig
	running []*request
	waiting []*request
	passEnd time.Time // End of the current pass.
	// slowdown is how much longer than usual a pass takes.
	slowdown float64
}

// load returns the number of running and of waiting requests.
func (e *engine) load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// advance runs all passes that end by now. It calls onFirstEvent and onEnd for the
// first and the last event of each request.
func (e *engine) advance(now time.Time, onFirstEvent, onEnd func(*request)) {
	for !e.passEnd.After(now) {
		e.endPass(onFirstEvent, onEnd)
		e.passEnd = e.passEnd.Add(e.startPass())
	}
}

// endPass generates one event of each running request.
func (e *engine) endPass(onFirstEvent, onEnd func(*request)) {
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r.firstEventAt.IsZero() {
			r.firstEventAt = e.passEnd
			onFirstEvent(r)
		}
		r.eventsLeft--
		if r.eventsLeft <= 0 {
			onEnd(r)
			continue
		}
		unfinished = append(unfinished, r)
	}
	e.running = unfinished
}

// startPass starts waiting requests in free slots and returns the duration of the
// pass.
func (e *engine) startPass() time.Duration {
	duration := e.config.PassDuration
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		duration += time.Duration(r.promptTokens / e.config.PrefillTokensPerSecond * float64(time.Second))
	}
	return time.Duration(float64(duration) * e.slowdown)
}
