package telemetry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// sampleInterval is how often a sampler reads its sources.
const sampleInterval = time.Second

// Sampler reports values that a program holds anyway, so that the request
// path does not report them. Add every source before Run.
type Sampler struct {
	scope tally.Scope
	reads []func()
}

// NewSampler returns a sampler without sources.
func NewSampler(scope tally.Scope) *Sampler {
	return &Sampler{scope: scope}
}

// Gauge reports what read returns under the name and the tags.
func (s *Sampler) Gauge(name string, tags map[string]string, read func() float64) {
	gauge := s.scope.Tagged(tags).Gauge(name)
	s.reads = append(s.reads, func() { gauge.Update(read()) })
}

// Flag reports 1 while read returns true, 0 otherwise.
func (s *Sampler) Flag(name string, read func() bool) {
	s.Gauge(name, nil, func() float64 {
		if read() {
			return 1
		}
		return 0
	})
}

// Counter reports the growth of a count that never falls.
func (s *Sampler) Counter(name string, tags map[string]string, read func() int64) {
	counter := s.scope.Tagged(tags).Counter(name)
	var last int64
	s.reads = append(s.reads, func() {
		now := read()
		counter.Inc(now - last)
		last = now
	})
}

// Sample reads every source once. Only one goroutine may call it.
func (s *Sampler) Sample() {
	for _, read := range s.reads {
		read()
	}
}

// Run samples at an interval until ctx ends.
func (s *Sampler) Run(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		s.Sample()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
