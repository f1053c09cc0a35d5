package gateway

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/telemetry"
)

// versionMonitor reports the versions that the requests of each service may begin on,
// and logs their changes. It is safe for concurrent use.
type versionMonitor struct {
	scope  tally.Scope
	logger *slog.Logger

	mu       sync.Mutex
	services map[string]*monitoredService
}

// monitoredService is the state of one service in a versionMonitor.
type monitoredService struct {
	minVersion, declared, declaredAge tally.Gauge
	// lastMinVersion is the minimum version at the last observation.
	lastMinVersion uint64
}

func newVersionMonitor(scope tally.Scope, logger *slog.Logger) *versionMonitor {
	return &versionMonitor{scope: telemetry.ScopeOrNoop(scope), logger: logger, services: make(map[string]*monitoredService)}
}

// observe records the minimum version that a service has from now on. It ignores
// services without weights.
func (m *versionMonitor) observe(now time.Time, view *directory.View, serviceName string, minVersion uint64) {
	service := view.Document.Services[serviceName]
	if service == nil || service.Engine == nil {
		return
	}
	declared := view.DeclaredVersion(service.Model)
	m.mu.Lock()
	defer m.mu.Unlock()
	monitored := m.service(serviceName)
	monitored.minVersion.Update(float64(minVersion))
	monitored.declared.Update(float64(declared.Version))
	monitored.declaredAge.Update(ageAt(now, declared.NotAfter).Seconds())
	if minVersion == monitored.lastMinVersion {
		return
	}
	fields := []any{"service", serviceName, "old", monitored.lastMinVersion, "new", minVersion}
	m.logger.Info("minimum version changed", append(fields, declaredVersionFields(now, declared)...)...)
	monitored.lastMinVersion = minVersion
}

// service returns the state of a service. The caller holds m.mu.
func (m *versionMonitor) service(name string) *monitoredService {
	if known := m.services[name]; known != nil {
		return known
	}
	scope := m.scope.Tagged(map[string]string{telemetry.TagService: name})
	added := &monitoredService{
		minVersion:  scope.Gauge(telemetry.MetricMinVersion),
		declared:    scope.Gauge(telemetry.MetricDeclaredVersion),
		declaredAge: scope.Gauge(telemetry.MetricDeclaredVersionAge),
	}
	m.services[name] = added
	return added
}

// ageAt returns the time since a version was declared, 0 if it was not.
func ageAt(now, declaredAt time.Time) time.Duration {
	if declaredAt.IsZero() {
		return 0
	}
	return now.Sub(declaredAt)
}

// declaredVersionFields returns log fields for what the process knows of a declared
// version: its age and the versions that it superseded, as far as they are known.
func declaredVersionFields(now time.Time, declared directory.DeclaredVersion) []any {
	fields := []any{"declared", declared.Version}
	if !declared.NotAfter.IsZero() {
		fields = append(fields, declared.LogFields(now)...)
	}
	if declared.Previous().Version == 0 {
		return fields
	}
	return append(fields, "superseded", supersededText(now, declared))
}

// supersededText lists the known superseded versions with their ages, newest first.
func supersededText(now time.Time, declared directory.DeclaredVersion) string {
	if len(declared.Superseded) == 0 {
		return fmt.Sprint(declared.Previous().Version)
	}
	var texts []string
	for _, d := range declared.Superseded {
		age := now.Sub(d.NotAfter).Round(time.Millisecond)
		counted := now.Sub(d.CountsFrom()).Round(time.Millisecond)
		texts = append(texts, fmt.Sprintf("%d (%v, counted %v)", d.Version, age, counted))
	}
	return strings.Join(texts, ", ")
}
