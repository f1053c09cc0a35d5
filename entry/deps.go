package entry

import (
	"log/slog"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/snipestep/snipestep/platform"
	"github.com/snipestep/snipestep/wire"
)

// Deps are the outside parts that an entry uses.
type Deps struct {
	KeyValue     platform.KeyValue
	InstanceList platform.InstanceList
	WeightStore  platform.WeightStore
	Dial         wire.Dialer
	Logger       *slog.Logger
	Scope        tally.Scope
	Tracer       trace.Tracer
	Now          func() time.Time
}

func (d Deps) withDefaults() Deps {
	if d.Dial == nil {
		d.Dial = (&net.Dialer{}).DialContext
	}
	if d.Logger == nil {
		d.Logger = slog.New(slog.DiscardHandler)
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	return d
}
