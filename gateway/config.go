package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/directory"
)

// Config configures a Gateway.
type Config struct {
	Name   string // Name of the entry.
	Region string
	// FailureDomain is that of the entry, within its region.
	FailureDomain string
	// DatagramAddr (IP:port) receives load reports; agents listen on the same
	// port of their instances.
	DatagramAddr string
	// RetryRatio and RetryBurst limit the retries of all entries together, for
	// each service: a fraction of the requests, and a burst on top.
	RetryRatio float64
	RetryBurst float64
	// VersionBound is how long after a new version was declared an older one
	// may still start a request.
	VersionBound time.Duration
	// ColdExcess and ColdExtra bound the requests to a cold endpoint, see
	// sharedrate.ColdRule.
	ColdExcess float64
	ColdExtra  float64
	// FleetKey signs the configuration sent to agents.
	FleetKey []byte
	// UseSlowdown says that the choice of an endpoint uses how slow endpoints say they are.
	UseSlowdown bool
	// Locality makes entries decide by waits, offers and costs when requests are sent outside the
	// failure domain; LocalityPricePerKB is the wait that a kilobyte is worth then.
	Locality           bool
	LocalityPricePerKB time.Duration
	Seed               uint64
}

// Deps are the dependencies of a Gateway. All but Prober are required.
type Deps struct {
	Directory   *directory.Directory
	HeaderCodec HeaderCodec
	// Transport sends requests to endpoints. The gateway checks its responses, see
	// connguard.Transport.
	Transport http.RoundTripper
	// Prober probes unresponsive endpoints with agents. Without one, requests of callers tell whether
	// such an endpoint responds, one at a time.
	Prober Prober
	// Now is the clock of the directory's declared versions.
	Now    func() time.Time
	Logger *slog.Logger
	Scope  tally.Scope
}

func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
