package swarm

import (
	"context"
	"log/slog"
	"net"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/platform"
)

// Deps are what a Node uses. Origin, Store and FleetKey are required.
type Deps struct {
	// Dial opens connections to peers, net.Dialer by default.
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	Origin, Store platform.ChunkSource
	Logger        *slog.Logger
	Scope         tally.Scope
	// Live returns the calls running on the instance and its slots.
	Live func() (running, slots int)
	// FleetKey authenticates connections in both directions.
	FleetKey []byte
}

func (d *Deps) setDefaults() {
	if d.Dial == nil {
		d.Dial = (&net.Dialer{}).DialContext
	}
	if d.Logger == nil {
		d.Logger = slog.New(slog.DiscardHandler)
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Live == nil {
		d.Live = func() (int, int) { return 0, 0 }
	}
}
