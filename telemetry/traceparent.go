package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// TraceparentHeader is the name of the W3C Trace Context header.
const TraceparentHeader = "traceparent"

// Inject returns the traceparent of the span in ctx, or "" if there is none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[TraceparentHeader]
}

// Extract returns ctx with the remote span of traceparent, or ctx unchanged if
// traceparent is malformed.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{TraceparentHeader: traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}
