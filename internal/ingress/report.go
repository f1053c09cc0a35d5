package ingress

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/telemetry"
)

// reportInterval is the shortest time between two log lines about one limit.
const reportInterval = 5 * time.Second

// Report counts the connections that met a limit in a metric, and logs them. It is safe for
// concurrent use; a nil report does nothing.
type Report struct {
	logger *slog.Logger
	limits map[Limit]*limitCount
}

// limitCount counts the connections that met one limit.
type limitCount struct {
	counter  tally.Counter
	unlogged atomic.Int64
}

// NewReport returns a report with the metric in scope.
func NewReport(logger *slog.Logger, scope tally.Scope) *Report {
	scope = telemetry.ScopeOrNoop(scope)
	r := &Report{logger: logger, limits: make(map[Limit]*limitCount)}
	for _, limit := range Limits {
		tagged := scope.Tagged(map[string]string{telemetry.TagLimit: string(limit)})
		r.limits[limit] = &limitCount{counter: tagged.Counter(telemetry.MetricCallerLimits)}
	}
	return r
}

// count does not block.
func (r *Report) count(limit Limit) {
	if r == nil {
		return
	}
	r.limits[limit].counter.Inc(1)
	r.limits[limit].unlogged.Add(1)
}

// Run logs what was counted, at most one line for each limit every reportInterval, until ctx ends.
func (r *Report) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.log()
		}
	}
}

func (r *Report) log() {
	for _, limit := range Limits {
		if n := r.limits[limit].unlogged.Swap(0); n > 0 {
			r.logger.Warn("callers met a limit", "limit", string(limit), "connections", n)
		}
	}
}
