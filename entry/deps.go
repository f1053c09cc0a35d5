package entry

import (
	"log/slog"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

// Deps are the external dependencies of an entry.
type Deps struct {
	KeyValue     backing.KeyValue
	InstanceList backing.InstanceList
	WeightStore  backing.WeightStore
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
	d.Logger = telemetry.LoggerOrNoop(d.Logger)
	d.Scope = telemetry.ScopeOrNoop(d.Scope)
	d.Tracer = telemetry.TracerOrNoop(d.Tracer)
	if d.Now == nil {
		d.Now = time.Now
	}
	return d
}
