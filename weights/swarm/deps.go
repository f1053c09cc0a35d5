package swarm

import (
	"context"
	"log/slog"
	"net"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/telemetry"
)

// Deps are the dependencies of a Node. Origin, Store and FleetKey are required.
type Deps struct {
	// Dial opens connections to peers, net.Dialer by default.
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	Origin, Store backing.ChunkSource
	Logger        *slog.Logger
	Scope         tally.Scope
	// InferenceLoad returns the number of inference requests that the instance
	// runs, and its slots.
	InferenceLoad func() (running, slots int)
	// FleetKey authenticates connections in both directions.
	FleetKey []byte
}

func (d *Deps) setDefaults() {
	if d.Dial == nil {
		d.Dial = (&net.Dialer{}).DialContext
	}
	d.Logger = telemetry.LoggerOrNoop(d.Logger)
	d.Scope = telemetry.ScopeOrNoop(d.Scope)
	if d.InferenceLoad == nil {
		d.InferenceLoad = func() (int, int) { return 0, 0 }
	}
}
