package settings

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Direct holds the settings of snipestep-direct. Its entries call endpoints
// directly; each of its agents manages the weights of one engine.
type Direct struct {
	InstanceID string
	IP         string
	Location   core.Location
	FleetKey   []byte
	// FirstPort is the first of the directPorts consecutive ports for traffic
	// between processes of the fleet.
	FirstPort int
	// LinkMbps is the capacity of the instance's network link in megabits a
	// second.
	LinkMbps float64
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// CallerAddr serves callers and ReadyAddr the balancer's readiness checks;
	// entries only.
	CallerAddr string
	ReadyAddr  string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// Service is the service of the engine beside an agent, Endpoint the
	// engine's address (IP:port); agents only.
	Service    string
	EngineAddr string
	// VersionBound is how long after a new version was declared requests may
	// still start on an older one.
	VersionBound time.Duration
	// RetryRatio is the number of retries allowed per request, and RetryBurst the
	// number allowed beyond that, over all entries and for each service.
	RetryRatio float64
	RetryBurst float64
	// MaxConns bounds the connections of callers, 0 for the default of package ingress, and
	// CallersMiB what they make an entry hold, in MiB.
	MaxConns   int
	CallersMiB int
	// StopGrace is the time between the stop signal and the kill.
	StopGrace time.Duration
	Admission DirectAdmission
	Locality  DirectLocality
	Telemetry Telemetry
}

// directPorts is the number of consecutive ports reserved from FirstPort on.
const directPorts = 3

// Limits of the settings of snipestep-direct.
const (
	maxFirstPort    = 65535 - directPorts
	maxVersionBound = time.Hour
	maxRetryBurst   = 1e6
	maxStopGrace    = time.Hour
	maxColdExcess   = 100
	maxColdExtra    = 1e6
	minLinkMbps     = 0.01
	maxLinkMbps     = 1e6
	maxCallerConns  = 1 << 20
	minCallersMiB   = 1
	maxCallersMiB   = 1 << 16
)

// LoadDirect reads the settings of snipestep-direct. It returns *Error.
func LoadDirect(path string) (*Direct, error) {
	loader := newDirectLoader()
	file, err := Load(path, loader.schema())
	if err != nil {
		return nil, err
	}
	loader.direct.FleetKey, err = loader.fleetKey.read(file)
	return loader.direct, err
}

// directLoader declares the schema of snipestep-direct's file and holds the
// loaded values.
type directLoader struct {
	direct   *Direct
	fleetKey fleetKeySource
}

func newDirectLoader() *directLoader {
	return &directLoader{direct: &Direct{}}
}

func (l *directLoader) schema() Schema {
	direct := l.direct
	instance := []Key{
		{Name: "id", Required: true, Value: Name(&direct.InstanceID), Doc: "Identifier of the instance."},
		{Name: "ip", Required: true, Value: Name(&direct.IP), Doc: "IP number of the instance."},
		{Name: "first_port", Required: true, Value: Int(&direct.FirstPort, 1, maxFirstPort), Doc: "First of three ports between processes of the fleet: datagrams, chunks, a spare one."},
		{Name: "link_mbps", Required: true, Value: Float(&direct.LinkMbps, minLinkMbps, maxLinkMbps), Doc: "What the link of the instance carries, in megabits a second."},
		{Name: "regions", Required: true, Value: Pairs(&direct.Regions), Doc: "The region of each failure domain."},
	}
	return Schema{
		{Name: "instance", Doc: "This instance.", Keys: append(instance, locationKeys(&direct.Location)...)},
		{Name: fleetSection, Doc: "What all instances of the fleet share.", Keys: l.fleetKey.schemaKeys()},
		{Name: "callers", Doc: "For entries.", Keys: []Key{
			{Name: "address", Value: OptionalAddress(&direct.CallerAddr), Doc: "TCP address that serves callers; required for entries."},
			{Name: "ready_address", Value: OptionalAddress(&direct.ReadyAddr), Doc: "TCP address that answers the balancer's question whether the entry is ready; required for entries."},
			{Name: "retry_ratio", Default: "0.2", Value: emptyAsDefault{Float(&direct.RetryRatio, 0, 1), "0.2"}, Doc: "Repeats allowed for each request, over all entries and by service."},
			{Name: "retry_burst", Default: "50", Value: emptyAsDefault{Float(&direct.RetryBurst, 0, maxRetryBurst), "50"}, Doc: "Repeats allowed beyond, over all entries and by service."},
			{Name: "max_connections", Default: "0", Value: emptyAsDefault{Int(&direct.MaxConns, 0, maxCallerConns), "0"}, Doc: "Most connections of callers; 0 for the process's limit of descriptors less 1,024, and at least half of it."},
			{Name: "stop_grace", Default: "8s", Value: emptyAsDefault{Duration(&direct.StopGrace, time.Second, maxStopGrace), "8s"}, Doc: "Time from the signal to stop until the process is killed."},
		}},
		{Name: "memory", Doc: "For entries: what may be held in memory.", Keys: []Key{
			{Name: "callers_mib", Default: "20", Value: emptyAsDefault{Int(&direct.CallersMiB, minCallersMiB, maxCallersMiB), "20"}, Doc: "Header sections and bodies of requests that all callers together make the entry hold, in MiB; the first 8 KiB of each connection do not count. It is raised to four times max_body_bytes of the document and 2 MiB."},
		}},
		{Name: "store", Doc: "The platform's store.", Keys: []Key{
			{Name: "address", Required: true, Value: Address(&direct.StoreAddr), Doc: "TCP address of the store."},
		}},
		{Name: "engine", Doc: "For agents: the engine on the same instance.", Keys: []Key{
			{Name: "service", Value: OptionalName(&direct.Service), Doc: "Service of the engine; required for agents."},
			{Name: "address", Value: OptionalAddress(&direct.EngineAddr), Doc: "TCP address of the engine; required for agents."},
		}},
		{Name: "weights", Doc: "Versions of models.", Keys: []Key{
			{Name: "version_bound", Default: "8s", Value: emptyAsDefault{Duration(&direct.VersionBound, time.Second, maxVersionBound), "8s"}, Doc: "Time after the declaration of a version within which no request begins on an older one."},
		}},
		admissionSection(&direct.Admission),
		localitySection(&direct.Locality),
		telemetrySection(&direct.Telemetry),
	}
}
