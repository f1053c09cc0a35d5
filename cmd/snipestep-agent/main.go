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
	agentSettings, err := settings.LoadAgent(f.Settings)
	if err != nil {
		return daemon.Fail(err)
	}
	if f.Check {
		return daemon.ExitOK
	}
	telemetryConfig := telemetry.Config{
		Program:   telemetry.ProgramAgent,
		Instance:  string(agentSettings.Instance.ID),
		LogOutput: os.Stderr,
		Settings:  agentSettings.Telemetry,
	}
	return daemon.Main(telemetryConfig, func(t *telemetry.Telemetry) (daemon.Program, error) {
		return agent.New(agentConfig(agentSettings), agentDeps(agentSettings, t))
	})
}

func agentConfig(agentSettings *settings.Agent) agent.Config {
	return agent.Config{
		Instance:                agentSettings.Instance,
		FleetKey:                agentSettings.FleetKey,
		ChecksFencing:           agentSettings.Endpoint.ChecksFencing,
		Slots:                   agentSettings.Endpoint.Slots,
		OriginRegion:            agentSettings.OriginRegion,
		Policy:                  agentSettings.Policy,
		ShutdownGrace:           agentSettings.ShutdownGrace,
		AnswerBytes:             agentSettings.AnswerMiB << 20,
		IdleFetchBytesPerSecond: float64(agentSettings.Weights.IdleBitsPerSecond) / bitsPerByte,
		BusyFetchBytesPerSecond: float64(agentSettings.Weights.BusyBitsPerSecond) / bitsPerByte,
	}
}

func agentDeps(agentSettings *settings.Agent, t *telemetry.Telemetry) agent.Deps {
	deps := agent.Deps{Logger: t.Logger, Scope: t.Scope, Tracer: t.Tracer}
	endpointConfig := endpoint.HTTPConfig{BaseURL: agentSettings.Endpoint.URL, Timeout: endpointTimeout}
	if agentSettings.Instance.Role == core.RolePlain {
		deps.PlainService = endpoint.NewHTTPPlainService(endpointConfig)
		return deps
	}
	deps.Engine = endpoint.NewHTTPEngine(endpointConfig)
	deps.Origin = backing.NewHTTPOrigin(sourceConfig(agentSettings.Weights.OriginURL))
	deps.Store = backing.NewHTTPWeightStore(sourceConfig(agentSettings.Weights.WeightStoreURL))
	return deps
}

func sourceConfig(url string) backing.HTTPConfig {
	return backing.HTTPConfig{BaseURL: url, Timeout: sourceTimeout}
}
