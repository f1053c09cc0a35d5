package sidecar

import (
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/telemetry"
)

// versionSampler returns a sampler of the version that the engine has loaded and of
// the declared one.
func (r *Reconciler) versionSampler() *telemetry.Sampler {
	s := telemetry.NewSampler(r.deps.Scope)
	tags := map[string]string{telemetry.TagService: r.config.Service}
	s.Gauge(telemetry.MetricLoadedVersion, tags, func() float64 {
		if state := r.engineState.Load(); state != nil {
			return float64(state.LoadedVersion)
		}
		return 0
	})
	s.Gauge(telemetry.MetricDeclaredVersion, tags, func() float64 { return float64(r.declaredVersion().Version) })
	s.Gauge(telemetry.MetricDeclaredVersionAge, tags, func() float64 {
		if declared := r.declaredVersion(); !declared.NotAfter.IsZero() {
			return r.deps.Now().Sub(declared.NotAfter).Seconds()
		}
		return 0
	})
	return s
}

// declaredVersion returns the declared version of the engine's model, the zero value
// while no document is known.
func (r *Reconciler) declaredVersion() directory.DeclaredVersion {
	view := r.deps.Directory.View()
	service := r.engineService(view)
	if service == nil {
		return directory.DeclaredVersion{}
	}
	return view.DeclaredVersion(service.Model)
}
