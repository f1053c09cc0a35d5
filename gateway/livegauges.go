package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/telemetry"
)

// maxReportedVersions bounds the declared versions of a service for which gauges are
// reported. Two services with that many, about 100 bytes each, leave the other gauges
// their place in the first 4,000 bytes of the metrics page.
const maxReportedVersions = 6

// LiveGauges returns the gauges that are read when the metrics page is served.
func (g *Gateway) LiveGauges() []telemetry.LiveGauge {
	return []telemetry.LiveGauge{
		{
			Name: telemetry.MetricVersionMandatoryIn,
			Tags: []string{telemetry.TagService, telemetry.TagVersion, telemetry.TagBasis},
			Read: g.readMandatoryIn,
		},
		{
			Name: telemetry.MetricLastAttemptAge,
			Tags: []string{telemetry.TagService, telemetry.TagVersion},
			Read: g.readLastAttempts,
		},
		{
			Name: telemetry.MetricUnavailableEndpoints,
			Tags: []string{telemetry.TagService, telemetry.TagReason},
			Read: g.readUnavailable,
		},
		{
			Name: telemetry.MetricAtSilentAgents,
			Tags: []string{telemetry.TagService},
			Read: g.readAtSilentAgents,
		},
		{
			Name: telemetry.MetricEvacuatedDomains,
			Tags: []string{telemetry.TagFailureDomain},
			Read: g.readEvacuated,
		},
		{
			Name: telemetry.MetricColdEndpoints,
			Tags: []string{telemetry.TagService},
			Read: g.readColdEndpoints,
		},
	}
}

// readMandatoryIn reports the time until each declared version becomes mandatory.
func (g *Gateway) readMandatoryIn(report func(value float64, tagValues ...string)) {
	now := g.deps.Now()
	// The view that is read after the services has the document that names them.
	services := *g.services.Load()
	view := g.deps.Directory.View()
	for name := range services {
		service := view.Document.Services[name]
		if service == nil || service.Engine == nil {
			continue
		}
		for _, d := range g.reportedDeclarations(now, view.DeclaredVersion(service.Model)) {
			report(g.mandatoryIn(now, d).Seconds(), name, strconv.FormatUint(d.Version, 10), string(d.Basis()))
		}
	}
}

// mandatoryIn returns the time until requests may no longer begin on versions before a
// declared one, negative since.
func (g *Gateway) mandatoryIn(now time.Time, d directory.Declaration) time.Duration {
	return g.config.VersionBound - versionSafetyMargin - now.Sub(d.CountsFrom())
}

// reportedDeclarations returns the newest mandatory declaration and the pending ones,
// oldest first, at most maxReportedVersions of them.
func (g *Gateway) reportedDeclarations(now time.Time, declared directory.DeclaredVersion) []directory.Declaration {
	var reported []directory.Declaration
	for _, d := range declared.Declarations() {
		if d.NotAfter.IsZero() {
			continue
		}
		reported = append(reported, d)
		if g.mandatoryIn(now, d) <= 0 {
			break
		}
	}
	slices.Reverse(reported)
	return reported[:min(len(reported), maxReportedVersions)]
}

// readLastAttempts reports the time since the last attempt at each version.
func (g *Gateway) readLastAttempts(report func(value float64, tagValues ...string)) {
	now := time.Now()
	for name := range *g.services.Load() {
		for version, sentAt := range g.metrics.lastAttempts.byVersion(name) {
			report(now.Sub(sentAt).Seconds(), name, strconv.FormatUint(version, 10))
		}
	}
}

// readUnavailable reports how many endpoints of each service get no requests, by the reason.
func (g *Gateway) readUnavailable(report func(value float64, tagValues ...string)) {
	now := time.Now()
	for name, s := range *g.services.Load() {
		var unavailable admission.UnavailableEndpoints
		s.gate.Inspect(func(p *admission.Pool) { unavailable = p.Unavailable(now) })
		for reason, count := range unavailable {
			report(float64(count), name, string(reason))
		}
	}
}

// readAtSilentAgents reports the requests of each service at endpoints whose agents are silent.
func (g *Gateway) readAtSilentAgents(report func(value float64, tagValues ...string)) {
	now := time.Now()
	for name, s := range *g.services.Load() {
		requests := 0
		s.gate.Inspect(func(p *admission.Pool) { requests = p.AtSilentAgents(now) })
		if requests > 0 {
			report(float64(requests), name)
		}
	}
}

// readEvacuated reports the evacuated failure domains.
func (g *Gateway) readEvacuated(report func(value float64, tagValues ...string)) {
	for domain := range g.deps.Directory.View().Evacuated {
		report(1, domain)
	}
}
