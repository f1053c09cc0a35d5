package settings

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// agentLoader declares the schema of an agent's file and holds the loaded values.
type agentLoader struct {
	agent    *Agent
	fleetKey fleetKeySource
}

func newAgentLoader() *agentLoader {
	agent := &Agent{}
	agent.Instance.State = core.StateLive
	return &agentLoader{agent: agent}
}

// Limits of an agent's settings.
const (
	maxSlots              = 4096
	maxFetchBitsPerSecond = 400_000_000_000
	// minShutdownGrace is the shortest time allowed for running calls to finish
	// at a shutdown.
	minShutdownGrace = 100 * time.Millisecond
)

// requirement says whether a key must be set or must be empty.
type requirement struct {
	section  string
	key      string
	value    string
	required bool
}

// build checks the sections against one another and returns the settings, or
// *Error.
func (l *agentLoader) build(file *File) (*Agent, error) {
	key, err := l.fleetKey.read(file)
	if err != nil {
		return nil, err
	}
	for _, r := range l.requirements() {
		if r.required && r.value == "" {
			return nil, file.ErrorAt(r.section, r.key, ErrMissingKey)
		}
		if !r.required && r.value != "" {
			return nil, file.ErrorAt(r.section, r.key, &ConflictError{Detail: "is not allowed for role " + string(l.agent.Instance.Role)})
		}
	}
	if l.agent.Weights.BusyBitsPerSecond > l.agent.Weights.IdleBitsPerSecond {
		return nil, file.ErrorAt("weights", "busy_rate", &ConflictError{Detail: "exceeds idle_rate"})
	}
	l.agent.FleetKey = key
	return l.agent, nil
}

// requirements lists the keys whose presence depends on the role.
func (l *agentLoader) requirements() []requirement {
	model := l.agent.Instance.Role == core.RoleModel
	return []requirement{
		{"instance", "service", l.agent.Instance.Service, !model},
		{"instance", "chunk_address", l.agent.Instance.ChunkAddr, model},
		{"weights", "origin_url", l.agent.Weights.OriginURL, model},
		{"weights", "weight_store_url", l.agent.Weights.WeightStoreURL, model},
	}
}

func (l *agentLoader) schema() Schema {
	return Schema{
		l.instanceSection(),
		l.fleetSection(),
		l.endpointSection(),
		l.weightSection(),
		memorySection(&l.agent.AnswerMiB),
		telemetrySection(&l.agent.Telemetry),
	}
}

func (l *agentLoader) instanceSection() Section {
	instance := &l.agent.Instance
	keys := []Key{
		{Name: "id", Required: true, Value: Name(&instance.ID), Doc: "Identifier of the instance; a replacement gets a new one."},
		{Name: "role", Required: true, Value: Choice(&instance.Role, string(core.RoleModel), string(core.RolePlain)), Doc: "Whether the endpoint is a model engine or a plain service."},
		{Name: "service", Value: OptionalName(&instance.Service), Doc: "Name of the plain service; required for role plain, empty for role model."},
		{Name: "session_address", Required: true, Value: Address(&instance.SessionAddr), Doc: "TCP address that accepts sessions of other processes."},
		{Name: "datagram_address", Required: true, Value: Address(&instance.DatagramAddr), Doc: "UDP address that receives datagrams of other processes."},
		{Name: "chunk_address", Value: OptionalAddress(&instance.ChunkAddr), Doc: "TCP address that serves chunks; required for role model, empty for role plain."},
		{Name: "stop_timeout", Default: "60s", Value: Duration(&l.agent.ShutdownGrace, minShutdownGrace, time.Hour), Doc: "Longest time that running calls get at a shutdown."},
	}
	return Section{Name: "instance", Doc: "This instance.", Keys: append(keys, locationKeys(&instance.Location)...)}
}

func (l *agentLoader) fleetSection() Section {
	keys := append(l.fleetKey.schemaKeys(), policyKeys(&l.agent.Policy, &l.agent.OriginRegion)...)
	return Section{Name: fleetSection, Doc: "What all instances of the fleet share.", Keys: keys}
}

func (l *agentLoader) endpointSection() Section {
	endpoint := &l.agent.Endpoint
	return Section{
		Name: "endpoint",
		Doc:  "The endpoint beside the agent.",
		Keys: []Key{
			{Name: "url", Required: true, Value: URL(&endpoint.URL), Doc: "Base URL of the endpoint."},
			{Name: "checks_fencing", Default: "false", Value: Bool(&endpoint.ChecksFencing), Doc: "Whether the endpoint refuses orders with an old fencing number."},
			{Name: "slots", Required: true, Value: Int(&endpoint.Slots, 1, maxSlots), Doc: "Calls that the endpoint runs at once."},
		},
	}
}

func (l *agentLoader) weightSection() Section {
	weights := &l.agent.Weights
	return Section{
		Name: "weights",
		Doc:  "Sources and pace of weight transfers; for role model.",
		Keys: []Key{
			{Name: "origin_url", Value: OptionalURL(&weights.OriginURL), Doc: "Origin of weights; required for role model."},
			{Name: "weight_store_url", Value: OptionalURL(&weights.WeightStoreURL), Doc: "Weight store; required for role model."},
			{Name: "idle_rate", Default: "0bps", Value: Rate(&weights.IdleBitsPerSecond, 0, maxFetchBitsPerSecond), Doc: "Most bits a second fetched from peers while the endpoint runs no call; 0bps for no bound, also with calls."},
			{Name: "busy_rate", Default: "0bps", Value: Rate(&weights.BusyBitsPerSecond, 0, maxFetchBitsPerSecond), Doc: "The same while every slot is in use, at most idle_rate; the bound falls evenly with the slots in use. 0bps for a quarter of idle_rate."},
		},
	}
}
