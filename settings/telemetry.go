package settings

// Telemetry configures the logs, metrics and traces of a program.
type Telemetry struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MetricsAddr serves /metrics, /healthz and /readyz; empty disables the
	// server.
	MetricsAddr string
	// OTLPURL receives spans by OTLP over HTTP; empty disables tracing.
	OTLPURL string
	// SampleRatio is the fraction of calls without a traceparent that are
	// traced.
	SampleRatio float64
}

func telemetrySection(t *Telemetry) Section {
	return Section{
		Name: "telemetry",
		Doc:  "Logs, metrics and traces.",
		Keys: []Key{
			{
				Name:    "log_level",
				Default: "info",
				Value:   Choice(&t.LogLevel, "debug", "info", "warn", "error"),
				Doc:     "Least severe level that is logged.",
			},
			{
				Name:  "metrics_address",
				Value: OptionalAddress(&t.MetricsAddr),
				Doc:   "Address that serves /metrics, /healthz and /readyz; empty for none.",
			},
			{
				Name:  "otlp_url",
				Value: OptionalURL(&t.OTLPURL),
				Doc:   "Collector that receives spans by OTLP over HTTP; empty for none.",
			},
			{
				Name:    "sample_ratio",
				Default: "0.01",
				Value:   Ratio(&t.SampleRatio),
				Doc:     "Part of the calls without a traceparent that are traced.",
			},
		},
	}
}
