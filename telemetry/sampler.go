package telemetry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// sampleInterval is the interval at which a sampler reads its sources.
const sampleInterval = time.Second

// Sampler periodically reads values that the program keeps anyway and reports
// them as metrics, which takes this work off the request path. Add every source
// before Run.
type Sampler struct {
	scope   tally.Scope
	sources []func()
}

// NewSampler returns a sampler without sources.
func NewSampler(scope tally.Scope) *Sampler {
	return &Sampler{scope: scope}
}

// Gauge reports the value that read returns as a gauge.
func (s *Sampler) Gauge(name string, tags map[string]string, read func() float64) {
	gauge := s.scope.Tagged(tags).Gauge(name)
	s.sources = append(s.sources, func() { gauge.Update(read()) })
}

// BoolGauge reports a gauge of 1 while read returns true, 0 otherwise.
func (s *Sampler) BoolGauge(name string, read func() bool) {
	s.Gauge(name, nil, func() float64 {
		if read() {
			return 1
		}
		return 0
	})
}

// Counter reports the value that read returns, which must not decrease, as a
// counter.
func (s *Sampler) Counter(name string, tags map[string]string, read func() int64) {
	counter := s.scope.Tagged(tags).Counter(name)
	var last int64
	s.sources = append(s.sources, func() {
		current := read()
		counter.Inc(current - last)
		last = current
	})
}

// Sample reads every source once. Only one goroutine may call it.
func (s *Sampler) Sample() {
	for _, read := range s.sources {
		read()
	}
}

// Run samples every sampleInterval until ctx ends.
func (s *Sampler) Run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s.Sample()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
