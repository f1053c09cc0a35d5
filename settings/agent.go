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
	// ShutdownGrace is the longest time that running calls may take to finish at
	// a shutdown.
	ShutdownGrace time.Duration
	Telemetry     Telemetry
	// AnswerMiB limits the memory for the answers of all calls together.
	AnswerMiB int
}

// AgentEndpoint describes the endpoint beside an agent.
type AgentEndpoint struct {
	URL string
	// ChecksFencing says whether the endpoint refuses orders with a stale fencing
	// number.
	ChecksFencing bool
	// Slots is the number of calls that the endpoint runs concurrently.
	Slots int
}

// AgentWeights holds the sources and the rate limits of an agent's weight
// downloads. The URLs are empty for plain services.
type AgentWeights struct {
	OriginURL      string
	WeightStoreURL string
	// IdleBitsPerSecond and BusyBitsPerSecond limit the rate of fetching from
	// peers while no call runs and while every slot is in use.
	// IdleBitsPerSecond 0 means no limit, also while calls run; BusyBitsPerSecond 0
	// means a quarter of IdleBitsPerSecond.
	IdleBitsPerSecond int64
	BusyBitsPerSecond int64
}

// LoadAgent reads the settings of an agent. It returns *Error.
func LoadAgent(path string) (*Agent, error) {
	loader := newAgentLoader()
	file, err := Load(path, loader.schema())
	if err != nil {
		return nil, err
	}
	return loader.build(file)
}
