package gateway

import (
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/routing/sharedrate"
)

// coldRecord returns what the record of an endpoint says about its coldness.
func coldRecord(view *directory.View, endpointID string) sharedrate.Record {
	r, ok := view.ColdRecords[endpointID]
	if !ok {
		return sharedrate.Record{}
	}
	return sharedrate.Record{Known: true, Left: r.Left, ReceivedAt: r.ReceivedAt, Era: r.Era, Revision: r.Revision, Initial: r.Initial}
}

// startOf returns what a report says about the start of its endpoint.
func startOf(report loadreport.Report) sharedrate.Start {
	return sharedrate.Start{Known: report.Start.Known, Seen: report.Start.Seen, Since: report.Start.Age}
}

// applyColdStart sets in the pool of a service what a view says about cold endpoints.
func (g *Gateway) applyColdStart(now time.Time, view *directory.View, serviceName string, p *admission.Pool) {
	p.SetStoreUp(now, view.StoreUp)
	p.SetColdEntries(int(g.coldDivisor.Load()))
	coldStart := view.Document.Services[serviceName].ColdStart
	if coldStart == nil {
		p.SetColdStart(now, false, sharedrate.ColdRule{}, 0)
		return
	}
	rule := sharedrate.ColdRule{PerSecond: coldStart.PerSecond, Excess: g.config.ColdExcess, Extra: g.config.ColdExtra}
	p.SetColdStart(now, true, rule, coldStart.Duration)
}

// observeColdEntries records the number of entries that a settled agent names. Only the loop
// that receives datagrams calls it.
func (g *Gateway) observeColdEntries(now time.Time, report loadreport.Report) {
	if !report.Settled {
		return
	}
	g.coldEntries.Observe(now, report.Entries)
	divisor := g.coldEntries.Value(now)
	previous := g.coldDivisor.Swap(int64(divisor))
	if previous == int64(divisor) {
		return
	}
	g.metrics.updateColdDivisor(divisor)
	// A service that is added now takes the new number: applyView reads it after it has stored
	// the services.
	for _, s := range *g.services.Load() {
		s.gate.Update(func(p *admission.Pool) { p.SetColdEntries(divisor) })
	}
	g.deps.Logger.Info("rate of cold endpoints divided anew", "entries", divisor, "previous", previous)
}

// checkCold returns *UnavailableError for a request whose endpoint has turned out to be cold
// since it was chosen, if it is beyond the share of this entry.
func (g *Gateway) checkCold(grant *admission.Grant) error {
	reason := grant.CheckCold()
	if reason == "" {
		return nil
	}
	g.metrics.recordColdWithdrawal()
	return &UnavailableError{EndpointID: grant.EndpointID, Reason: reason}
}

// logColdChanges logs which endpoints of a service have become cold or warm.
func (g *Gateway) logColdChanges(s *service) {
	var changes []admission.ColdChange
	s.gate.Inspect(func(p *admission.Pool) { changes = p.ColdChanges(time.Now()) })
	for _, change := range changes {
		if !change.Cold {
			g.deps.Logger.Info("endpoint is warm", "endpoint", change.EndpointID, "service", s.name)
			continue
		}
		g.deps.Logger.Info("endpoint is cold", "endpoint", change.EndpointID, "service", s.name, "told_by", string(change.Source), "left_ms", change.Left.Milliseconds())
	}
}

// readColdEndpoints reports how many endpoints of each service count as cold.
func (g *Gateway) readColdEndpoints(report func(value float64, tagValues ...string)) {
	now := time.Now()
	view := g.deps.Directory.View()
	for name, s := range *g.services.Load() {
		if service := view.Document.Services[name]; service == nil || service.ColdStart == nil {
			continue
		}
		count := 0
		s.gate.Inspect(func(p *admission.Pool) { count = p.ColdEndpoints(now) })
		report(float64(count), name)
	}
}
