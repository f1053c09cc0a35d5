package keeper

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/weights"
)

// Config sets a Keeper.
type Config struct {
	Name string
	// Service is the service of the engine, Endpoint its address (IP:port).
	Service  string
	Endpoint string
	// DatagramAddr receives asks for load reports; ChunkAddr serves chunks to
	// other agents, which use the same port.
	DatagramAddr string
	ChunkAddr    string
	Location     core.Location
	// LinkBytes is what the instance's link carries, in bytes a second.
	LinkBytes float64
	FleetKey  []byte
	// VersionBound is how long after a version was declared an older one may
	// still begin a request.
	VersionBound time.Duration
	Seed         uint64
}

// Origin is the origin of weights. Chunks are known by the digest of a
// manifest that it returned before.
type Origin interface {
	backing.ChunkSource
	// Manifest blocks until the origin described a version of a model, or ctx
	// ends. What it says is not verified.
	Manifest(ctx context.Context, model string, version uint64) (*weights.Manifest, error)
}

// Deps are what a Keeper uses. All are required.
type Deps struct {
	Directory *directory.Directory
	Engine    Engine
	Origin    Origin
	Logger    *slog.Logger
	Scope     tally.Scope
}
