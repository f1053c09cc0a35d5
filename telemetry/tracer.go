package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// newTracer returns a tracer that exports spans by OTLP over HTTP, or one that
// does nothing if no collector is configured, and its shutdown function.
func newTracer(ctx context.Context, config Config) (trace.Tracer, func(context.Context) error, error) {
	if config.Settings.OTLPURL == "" {
		return noop.NewTracerProvider().Tracer(config.Program), noopShutdown, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(config.Settings.OTLPURL))
	if err != nil {
		return nil, nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(newResource(config)),
		sdktrace.WithSampler(newTraceSampler(config.Settings.SampleRatio)),
	)
	return provider.Tracer(config.Program), provider.Shutdown, nil
}

// newTraceSampler follows the caller's sampling decision and samples the given
// ratio of the other calls.
func newTraceSampler(ratio float64) sdktrace.Sampler {
	return sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))
}

func newResource(config Config) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", config.Program),
		attribute.String("service.instance.id", config.Instance),
	)
}

func noopShutdown(context.Context) error {
	return nil
}
