package telemetry

// MetricKind is the kind of a metric.
type MetricKind string

// The kinds of metrics.
const (
	Counter   MetricKind = "counter"
	Gauge     MetricKind = "gauge"
	Histogram MetricKind = "histogram"
)

// Metric describes one metric. Its full name has the prefix "snipestep_".
type Metric struct {
	Name string
	Kind MetricKind
	Unit string
	Tags []string
	// Programs are the programs that report the metric.
	Programs []string
	Meaning  string
}
