package settings

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Direct holds the settings of snipestep-direct, whose entries call endpoints
// themselves and whose agents keep the weights of one engine each.
type Direct struct {
	Name     string
	IP       string
	Location core.Location
	FleetKey []byte
	// FirstPort is the first of the ports between processes of the fleet.
	FirstPort int
	// LinkMbps is what the instance's link carries, in megabits a second.
	LinkMbps float64
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// CallerAddr and ReadyAddr are served by entries.
	CallerAddr string
	ReadyAddr  string
	// StoreAddr is where the platform's store answers.
	StoreAddr string
	// Service and Endpoint name the engine beside an agent.
	Service  string
	Endpoint string
	// VersionBound is how long an older version may begin requests after a
	// newer one was declared.
	VersionBound time.Duration
	RetryRatio   float64
	RetryBurst   float64
	// StopGrace is the time from the signal to stop to the kill.
	StopGrace time.Duration
	Telemetry Telemetry
}

// directPorts is the number of ports that a process uses from FirstPort on.
const directPorts = 3

// Bounds of the numbers.
const (
	maxPort         = 65535 - directPorts
	maxVersionBound = time.Hour
	maxRetryBurst   = 1e6
	maxStopGrace    = time.Hour
	minLinkMbps     = 0.01
	maxLinkMbps     = 1e6
)

// LoadDirect reads the settings of snipestep-direct. It returns *Error.
func LoadDirect(path string) (*Direct, error) {
	loader := newDirectLoader()
	file, err := Load(path, loader.schema())
	if err != nil {
		return nil, err
	}
	loader.direct.FleetKey, err = loader.key.read(file)
	return loader.direct, err
}

type directLoader struct {
	direct *Direct
	key    keySource
}

func newDirectLoader() *directLoader {
	return &directLoader{direct: &Direct{}}
}

func (l *directLoader) schema() Schema {
	d := l.direct
	instance := []Key{
		{Name: "id", Required: true, Value: Name(&d.Name), Doc: "Identifier of the instance."},
		{Name: "ip", Required: true, Value: Name(&d.IP), Doc: "IP number of the instance."},
		{Name: "first_port", Required: true, Value: Int(&d.FirstPort, 1, maxPort), Doc: "First of three ports between processes of the fleet: datagrams, chunks, a spare one."},
		{Name: "link_mbps", Required: true, Value: Float(&d.LinkMbps, minLinkMbps, maxLinkMbps), Doc: "What the link of the instance carries, in megabits a second."},
		{Name: "regions", Required: true, Value: Pairs(&d.Regions), Doc: "The region of each failure domain."},
	}
	return Schema{
		{Name: "instance", Doc: "This instance.", Keys: append(instance, locationKeys(&d.Location)...)},
		{Name: fleetSection, Doc: "What all instances of the fleet share.", Keys: l.key.keys()},
		{Name: "callers", Doc: "For entries.", Keys: []Key{
			{Name: "address", Value: OptionalAddress(&d.CallerAddr), Doc: "TCP address that serves callers; required for entries."},
			{Name: "ready_address", Value: OptionalAddress(&d.ReadyAddr), Doc: "TCP address that answers the balancer's question whether the entry is ready; required for entries."},
			{Name: "retry_ratio", Default: "0.2", Value: orEmpty{Float(&d.RetryRatio, 0, 1), "0.2"}, Doc: "Repeats allowed for each request, over all entries and by service."},
			{Name: "retry_burst", Default: "50", Value: orEmpty{Float(&d.RetryBurst, 0, maxRetryBurst), "50"}, Doc: "Repeats allowed beyond, over all entries and by service."},
			{Name: "stop_grace", Default: "8s", Value: orEmpty{Duration(&d.StopGrace, time.Second, maxStopGrace), "8s"}, Doc: "Time from the signal to stop until the process is killed."},
		}},
		{Name: "store", Doc: "The platform's store.", Keys: []Key{
			{Name: "address", Required: true, Value: Address(&d.StoreAddr), Doc: "TCP address of the store."},
		}},
		{Name: "engine", Doc: "For agents: the engine on the same instance.", Keys: []Key{
			{Name: "service", Value: OptionalName(&d.Service), Doc: "Service of the engine; required for agents."},
			{Name: "address", Value: OptionalAddress(&d.Endpoint), Doc: "TCP address of the engine; required for agents."},
		}},
		{Name: "weights", Doc: "Versions of models.", Keys: []Key{
			{Name: "version_bound", Default: "8s", Value: orEmpty{Duration(&d.VersionBound, time.Second, maxVersionBound), "8s"}, Doc: "Time after the declaration of a version within which no request begins on an older one."},
		}},
		telemetrySection(&d.Telemetry),
	}
}
