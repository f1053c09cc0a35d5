package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/directory"
)

// Config sets a Gateway.
type Config struct {
	// Name identifies the entry in logs and datagrams.
	Name   string
	Region string
	// DatagramAddr is where load reports arrive; agents listen on the same
	// port of their instances.
	DatagramAddr string
	// RetryRatio and RetryBurst bound the repeats of all entries together,
	// by service: a part of the requests, and a number beyond.
	RetryRatio float64
	RetryBurst float64
	// VersionBound is how long after a new version was declared an older one
	// may still begin a request.
	VersionBound time.Duration
	// FleetKey signs what agents learn from the entry.
	FleetKey []byte
	Seed     uint64
}

// Deps are what a Gateway uses. All are required.
type Deps struct {
	Directory *directory.Directory
	Dialect   Dialect
	// Transport sends requests to endpoints.
	Transport http.RoundTripper
	Logger    *slog.Logger
	Scope     tally.Scope
}

func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
