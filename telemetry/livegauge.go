package telemetry

import (
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// LiveGauge is a gauge that is read when the metrics page is served. A gauge of a
// Sampler lags by up to two seconds and keeps its series for good; use a LiveGauge for
// times that are compared between processes and for tags whose values come and go.
type LiveGauge struct {
	Name string
	Tags []string
	// Read calls report for each series, with the values of Tags. It may be called
	// concurrently and must bound the number of series.
	Read func(report func(value float64, tagValues ...string))
}

// AddLiveGauges adds gauges to the metrics page. It returns an error if the page has a
// metric of the same name.
func (t *Telemetry) AddLiveGauges(gauges ...LiveGauge) error {
	for _, g := range gauges {
		name := metricPrefix + "_" + g.Name
		collector := &liveGaugeCollector{gauge: g, desc: prom.NewDesc(name, "See docs/metrics.md.", g.Tags, nil)}
		if err := t.registry.Register(collector); err != nil {
			return eris.Wrapf(err, "add the gauge %s to the metrics page", name)
		}
	}
	return nil
}

// liveGaugeCollector implements prom.Collector.
type liveGaugeCollector struct {
	gauge LiveGauge
	desc  *prom.Desc
}

// Describe implements prom.Collector.
func (c *liveGaugeCollector) Describe(descs chan<- *prom.Desc) {
	descs <- c.desc
}

// Collect implements prom.Collector.
func (c *liveGaugeCollector) Collect(metrics chan<- prom.Metric) {
	c.gauge.Read(func(value float64, tagValues ...string) {
		metrics <- prom.MustNewConstMetric(c.desc, prom.GaugeValue, value, tagValues...)
	})
}
