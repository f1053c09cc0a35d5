package sidecar

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

// Config configures a Reconciler. Addresses are IP:port.
type Config struct {
	Name       string // Name of the agent.
	Service    string // Service of the engine.
	EngineAddr string
	// DatagramAddr receives the datagrams of entries; ChunkAddr serves chunks to
	// other agents, which use the same port.
	DatagramAddr string
	ChunkAddr    string
	Location     core.Location
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// LinkBytesPerSecond is the capacity of the instance's network link.
	LinkBytesPerSecond float64
	// FleetKey verifies agent configurations and authenticates peers.
	FleetKey []byte
	// VersionBound is how long after the declaration of a version requests may
	// still start on an older one.
	VersionBound time.Duration
	Seed         uint64
}

// Origin is the origin of weights. It serves chunks only of manifests that it
// returned before, by manifest digest.
type Origin interface {
	backing.ChunkSource
	// Manifest returns the manifest of a version of a model. It blocks until the
	// origin answers or ctx ends. The manifest is not verified.
	Manifest(ctx context.Context, model string, version uint64) (*weights.Manifest, error)
}

// Deps holds the dependencies of a Reconciler. All are required.
type Deps struct {
	Directory *directory.Directory
	Engine    Engine
	Origin    Origin
	// Now is the clock of the directory's declared versions.
	Now    func() time.Time
	Logger *slog.Logger
	Scope  tally.Scope
}
