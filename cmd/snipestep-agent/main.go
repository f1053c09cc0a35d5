package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/daemon"
	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	bitsPerByte     = 8
	sourceTimeout   = 30 * time.Second
	endpointTimeout = 30 * time.Second
)

type flags struct {
	Settings string `arg:"" type:"path" help:"INI file with the settings of the agent."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("snipestep-agent"), kong.Description("Runs the calls and the weights of one endpoint."))
	os.Exit(run(f))
}

func run(f flags) int {
	s, err := settings.LoadAgent(f.Settings)
	if err != nil {
		return daemon.Fail(err)
	}
	if f.Check {
		return daemon.ExitOK
	}
	cfg := telemetry.Config{
		Program:   telemetry.ProgramAgent,
		Instance:  string(s.Instance.ID),
		LogOutput: os.Stderr,
		Settings:  s.Telemetry,
	}
	return daemon.Main(cfg, func(t *telemetry.Telemetry) (daemon.Program, error) {
		return agent.New(agentConfig(s), agentDeps(s, t))
	})
}

func agentConfig(s *settings.Agent) agent.Config {
	return agent.Config{
		Instance:                s.Instance,
		FleetKey:                s.FleetKey,
		ChecksFencing:           s.Endpoint.ChecksFencing,
		Slots:                   s.Endpoint.Slots,
		OriginRegion:            s.OriginRegion,
		Policy:                  s.Policy,
		ShutdownGrace:           s.ShutdownGrace,
		IdleFetchBytesPerSecond: float64(s.Weights.IdleBitsPerSecond) / bitsPerByte,
		BusyFetchBytesPerSecond: float64(s.Weights.BusyBitsPerSecond) / bitsPerByte,
	}
}

func agentDeps(s *settings.Agent, t *telemetry.Telemetry) agent.Deps {
	deps := agent.Deps{Logger: t.Logger, Scope: t.Scope, Tracer: t.Tracer}
	endpointConfig := endpoint.HTTPConfig{BaseURL: s.Endpoint.URL, Timeout: endpointTimeout}
	if s.Instance.Role == core.RolePlain {
		deps.PlainService = endpoint.NewHTTPPlainService(endpointConfig)
		return deps
	}
	deps.Engine = endpoint.NewHTTPEngine(endpointConfig)
	deps.Origin = backing.NewHTTPOrigin(sourceConfig(s.Weights.OriginURL))
	deps.Store = backing.NewHTTPWeightStore(sourceConfig(s.Weights.WeightStoreURL))
	return deps
}

func sourceConfig(url string) backing.HTTPConfig {
	return backing.HTTPConfig{BaseURL: url, Timeout: sourceTimeout}
}
