package settings

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Agent holds the settings of snipestep-agent.
type Agent struct {
	Instance     core.Instance
	FleetKey     []byte
	Policy       string
	OriginRegion string
	Endpoint     AgentEndpoint
	Weights      AgentWeights
	// StopTimeout bounds the time that running calls get at a shutdown.
	StopTimeout time.Duration
	Telemetry   Telemetry
}

// AgentEndpoint describes the endpoint beside an agent.
type AgentEndpoint struct {
	URL string
	// ChecksFencing says whether the endpoint refuses orders with an old
	// fencing number.
	ChecksFencing bool
	// Slots is the number of calls that the endpoint runs at once.
	Slots int
}

// AgentWeights says where an agent draws chunks and how fast. The URLs are
// empty for plain services.
type AgentWeights struct {
	OriginURL      string
	WeightStoreURL string
	// IdleRate and BusyRate bound fetching from peers in bits a second,
	// without live calls and with one in every slot. An IdleRate of 0 is
	// unbounded, a BusyRate of 0 a part of IdleRate.
	IdleRate int64
	BusyRate int64
}

// LoadAgent reads the settings of an agent. It returns *Error.
func LoadAgent(path string) (*Agent, error) {
	loader := newAgentLoader()
	file, err := Load(path, loader.schema())
	if err != nil {
		return nil, err
	}
	return loader.finish(file)
}
