package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	// headerKilobytes is the size of the header sections of a request and its response.
	headerKilobytes = 2.0
	// initialBytesPerToken is the initial mean: responses of known deployments have 1 to 1.7 kB for
	// about 100 tokens.
	initialBytesPerToken = 13
	bytesPerKilobyte     = 1000.0
)

// observeStreamBytes records the size of the events of a stream.
func (s *service) observeStreamBytes(size, lengthHint int) {
	if lengthHint <= 0 {
		return
	}
	old := s.perTokenMilliBytes.Load()
	s.perTokenMilliBytes.Store(old + (int64(size)*1000/int64(lengthHint)-old)/meanDivisor)
}

// expectedKilobytes returns the expected size of a request and its response.
func (r *request) expectedKilobytes() float64 {
	tokens := r.metadata.LengthHint
	if tokens <= 0 {
		tokens = r.metadata.OutputTokens
	}
	response := float64(max(tokens, 0)) * float64(r.service.perTokenMilliBytes.Load()) / 1000
	return (float64(len(r.body))+response)/bytesPerKilobyte + headerKilobytes
}

// describeForLocality adds to an admission request what the choice of a failure domain needs.
func (r *request) describeForLocality(req *admission.Request) {
	req.Stream = r.route.Kind == directory.Streaming
	req.Kilobytes = r.expectedKilobytes()
}

// localityConfig returns the configuration of a pool.
func (g *Gateway) localityConfig() admission.LocalityConfig {
	return admission.LocalityConfig{Enabled: g.config.Locality, FailureDomain: g.config.FailureDomain, PricePerKB: g.config.LocalityPricePerKB}
}

// reportLocality logs and counts what the pools have decided about sending requests outside the
// failure domain of the entry.
func (g *Gateway) reportLocality() {
	if !g.config.Locality {
		return
	}
	for name, s := range *g.services.Load() {
		var activity admission.LocalityActivity
		enabled := false
		s.gate.Inspect(func(p *admission.Pool) { activity, enabled = p.TakeLocalityActivity() })
		if enabled {
			g.logOffers(name, activity)
			g.metrics.recordLocality(name, activity)
		}
	}
}

// logOffers logs which failure domains began or ceased to offer slots.
func (g *Gateway) logOffers(service string, activity admission.LocalityActivity) {
	for _, change := range activity.Changes {
		text := "failure domain ceases to offer slots"
		if change.Offers {
			text = "failure domain begins to offer slots"
		}
		g.deps.Logger.Info(text, "service", service, "failure_domain", change.FailureDomain, "slots", change.Slots, "free", change.Free, "overdue_endpoints", change.Overdue)
	}
}

func (m *metrics) recordLocality(service string, activity admission.LocalityActivity) {
	tagged := func(tag, value string) tally.Scope {
		return m.scope.Tagged(map[string]string{telemetry.TagService: service, tag: value})
	}
	for domain, requests := range activity.Sent {
		scope := tagged(telemetry.TagFailureDomain, domain)
		scope.Counter(telemetry.MetricRequestsSentAway).Inc(int64(requests))
		scope.Counter(telemetry.MetricBytesSentAway).Inc(int64(activity.SentKilobytes[domain] * bytesPerKilobyte))
	}
	for reason, requests := range activity.Kept {
		tagged(telemetry.TagReason, string(reason)).Counter(telemetry.MetricRequestsKept).Inc(int64(requests))
	}
	for domain, slots := range activity.Offered {
		tagged(telemetry.TagFailureDomain, domain).Gauge(telemetry.MetricOfferedSlots).Update(slots)
	}
}

// localityFields returns the log fields of a choice outside the failure domain of the entry, none
// for another choice.
func localityFields(e admission.LoadEstimate) []any {
	if !e.Left {
		return nil
	}
	return []any{"sent_away", true, "own_wait_ms", milliseconds(e.OwnWait), "leave_cost_ms", milliseconds(e.LeaveCost)}
}

// milliseconds returns a duration for the log. Costs are below a millisecond at times.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
