package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// errUnresponsive cancels an attempt at an endpoint that has fallen silent together with its agent, as
// when their instance is frozen.
var errUnresponsive = eris.Wrap(ErrEventTimeout, "endpoint is silent with its agent")

// strandedAfter is how long an attempt lasts at least before it leaves an unresponsive endpoint: a full
// engine with prompts ahead sends a first event within half of it. It lets the single request that
// tells whether the endpoint responds get its response.
const strandedAfter = 500 * time.Millisecond

// Prober asks an endpoint whether it responds.
type Prober interface {
	// Probe returns nil if the endpoint at an address responds before ctx ends.
	Probe(ctx context.Context, address string) error
}

// probeTimeout bounds a probe: twenty times the longest round trip between two regions of known
// deployments. A link that takes longer is as good as cut for a first event.
const probeTimeout = 300 * time.Millisecond

// probeUnresponsive probes unresponsive endpoints: one whose agent alone has died answers, one on a frozen
// instance does not.
func (g *Gateway) probeUnresponsive(ctx context.Context, now time.Time) {
	view := g.deps.Directory.View()
	for _, s := range *g.services.Load() {
		var due []string
		s.gate.Inspect(func(p *admission.Pool) { due = p.DueProbes(now) })
		for _, endpointID := range due {
			endpoint := view.Endpoints[endpointID]
			if endpoint == nil {
				continue
			}
			go g.probe(ctx, s, endpoint)
		}
	}
}

// probe probes one endpoint.
func (g *Gateway) probe(ctx context.Context, s *service, endpoint *directory.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := g.deps.Prober.Probe(ctx, endpoint.Address)
	g.metrics.recordProbe(s.name, err == nil)
	if err != nil {
		g.deps.Logger.Info("probe of an unresponsive endpoint failed", "endpoint", endpoint.ID, "address", endpoint.Address, "error", errorText(err))
		return
	}
	s.gate.Update(func(p *admission.Pool) { p.RecordProbeAnswer(time.Now(), endpoint.ID) })
}

// moveOffUnresponsive moves the attempts that may move off unresponsive endpoints. It is called again
// and again: an attempt for which no retry is left now may move later.
func (g *Gateway) moveOffUnresponsive(now time.Time) {
	for name, s := range *g.services.Load() {
		for _, endpointID := range g.movable.endpointsOf(name) {
			if s.isUnresponsive(now, endpointID) {
				moved, staying := g.movable.moveStranded(endpointID, now.Add(-strandedAfter))
				g.logUnresponsive(now, s, endpointID, moved, staying)
			}
		}
	}
	g.logResponsive(now)
}

// logUnresponsive logs an endpoint that has become unresponsive, and what became of its attempts then.
func (g *Gateway) logUnresponsive(now time.Time, s *service, endpointID string, moved, staying int) {
	if _, known := g.unresponsive[endpointID]; known {
		return
	}
	g.unresponsive[endpointID] = now
	var estimate admission.LoadEstimate
	s.gate.Inspect(func(p *admission.Pool) { estimate = p.Estimate(now, endpointID) })
	fields := []any{"service", s.name, "endpoint", endpointID, "moved", moved, "staying", staying}
	g.deps.Logger.Warn("endpoint is unresponsive", append(fields, estimateFields(estimate)...)...)
}

// logResponsive logs the endpoints that are no longer unresponsive, or no longer listed.
func (g *Gateway) logResponsive(now time.Time) {
	for endpointID, since := range g.unresponsive {
		unresponsive := false
		for _, s := range *g.services.Load() {
			unresponsive = unresponsive || s.isUnresponsive(now, endpointID)
		}
		if !unresponsive {
			delete(g.unresponsive, endpointID)
			g.deps.Logger.Info("endpoint is no longer unresponsive", "endpoint", endpointID, "after_ms", now.Sub(since).Milliseconds())
		}
	}
}

// moveStranded moves the attempts of an endpoint that began before a time. It returns how many were
// moved at once and how many stay as long as there is no slot or no retry for them.
func (r *attemptRegistry) moveStranded(endpointID string, before time.Time) (moved, staying int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, attempt := range r.attempts[endpointID] {
		switch {
		case !attempt.since.Before(before):
		case attempt.move.start(errUnresponsive):
			moved++
		default:
			staying++
		}
	}
	return moved, staying
}
