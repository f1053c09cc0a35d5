package settings

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// entryLoader declares the schema of an entry's file and holds the loaded values.
type entryLoader struct {
	entry    *Entry
	fleetKey fleetKeySource
	document documentLoader
}

func newEntryLoader() *entryLoader {
	entry := &Entry{}
	entry.Instance.Role = core.RoleEntry
	entry.Instance.State = core.StateLive
	return &entryLoader{entry: entry}
}

// build checks the sections against one another and returns the settings, or
// *Error.
func (l *entryLoader) build(file *File) (*Entry, error) {
	key, err := l.fleetKey.read(file)
	if err != nil {
		return nil, err
	}
	document, err := l.document.build(file)
	if err != nil {
		return nil, err
	}
	l.entry.FleetKey = key
	l.entry.InitialDocument = document
	return l.entry, nil
}

func (l *entryLoader) schema() Schema {
	fixedSections := Schema{
		l.instanceSection(),
		l.fleetSection(),
		l.operatorSection(),
		l.platformSection(),
		l.limitSection(),
		memorySection(&l.entry.AnswerMiB),
		telemetrySection(&l.entry.Telemetry),
	}
	return append(fixedSections, l.document.sections()...)
}

func (l *entryLoader) instanceSection() Section {
	instance := &l.entry.Instance
	keys := []Key{
		{Name: "id", Required: true, Value: Name(&instance.ID), Doc: "Identifier of the instance; a replacement gets a new one."},
		{Name: "http_address", Required: true, Value: Address(&l.entry.HTTPAddr), Doc: "Address that serves callers and operators."},
		{Name: "session_address", Required: true, Value: Address(&instance.SessionAddr), Doc: "TCP address that accepts sessions of other processes."},
		{Name: "datagram_address", Required: true, Value: Address(&instance.DatagramAddr), Doc: "UDP address that receives datagrams of other processes."},
	}
	return Section{Name: "instance", Doc: "This instance.", Keys: append(keys, locationKeys(&instance.Location)...)}
}

func (l *entryLoader) fleetSection() Section {
	keys := append(l.fleetKey.schemaKeys(), policyKeys(&l.entry.Policy, &l.entry.OriginRegion)...)
	return Section{Name: fleetSection, Doc: "What all instances of the fleet share.", Keys: keys}
}

func (l *entryLoader) operatorSection() Section {
	return Section{
		Name: "operators",
		Doc:  "Who may use the operators' interface.",
		Keys: []Key{{
			Name:     "token_digests",
			Required: true,
			Value:    Digests(&l.entry.OperatorTokenDigests),
			Doc:      "Digests of the operators' bearer tokens.",
		}},
	}
}

func (l *entryLoader) platformSection() Section {
	platform := &l.entry.Platform
	return Section{
		Name: "platform",
		Doc:  "Services of the platform.",
		Keys: []Key{
			{Name: "key_value_url", Required: true, Value: URL(&platform.KeyValueURL), Doc: "Key-value service."},
			{Name: "instance_list_url", Required: true, Value: URL(&platform.InstanceListURL), Doc: "List of live and leaving instances."},
			{Name: "weight_store_url", Required: true, Value: URL(&platform.WeightStoreURL), Doc: "Weight store."},
		},
	}
}

// Ranges of an entry's limits.
const (
	minBodyBytes    = 1 << 10
	maxBodyBytes    = 64 << 20
	maxWaitingCalls = 1_000_000
	minCallersBytes = 1 << 20
	maxCallersBytes = 1 << 36
)

func (l *entryLoader) limitSection() Section {
	limits := &l.entry.Limits
	return Section{
		Name: "limits",
		Doc:  "Bounds of what the entry takes.",
		Keys: []Key{
			{Name: "callers_memory", Default: "20MiB", Value: Size(&limits.CallersBytes, minCallersBytes, maxCallersBytes), Doc: "Header sections and bodies of requests that all callers together make the entry hold; the first 8 KiB of each connection do not count. It is raised to four times max_body and 2 MiB."},
			{Name: "max_connections", Default: "0", Value: Int(&limits.MaxConns, 0, maxCallerConns), Doc: "Most connections of callers; 0 for the process's limit of descriptors less 1,024, and at least half of it."},
			{Name: "max_body", Default: "1MiB", Value: Size(&limits.MaxBodyBytes, minBodyBytes, maxBodyBytes), Doc: "Largest body of a caller's request."},
			{Name: "max_waiting", Default: "4096", Value: Int(&limits.MaxWaiting, 1, maxWaitingCalls), Doc: "Most calls that wait for an endpoint at this entry."},
			{Name: "header_timeout", Default: "5s", Value: Duration(&limits.HeaderTimeout, 100*time.Millisecond, time.Minute), Doc: "Longest time to read the header of a request."},
			{Name: "stop_timeout", Default: "30s", Value: Duration(&limits.ShutdownGrace, minShutdownGrace, time.Hour), Doc: "Longest time that running calls get at a shutdown."},
		},
	}
}
