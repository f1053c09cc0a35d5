package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/entry"
	"github.com/snipestep/snipestep/internal/daemon"
	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/telemetry"
)

const platformTimeout = 2 * time.Second

type flags struct {
	Settings string `arg:"" type:"path" help:"INI file with the settings of the entry."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("snipestep-entry"), kong.Description("Serves callers and operators of a snipestep fleet."))
	os.Exit(run(f))
}

func run(f flags) int {
	entrySettings, err := settings.LoadEntry(f.Settings)
	if err != nil {
		return daemon.Fail(err)
	}
	if f.Check {
		return daemon.ExitOK
	}
	telemetryConfig := telemetry.Config{
		Program:   telemetry.ProgramEntry,
		Instance:  string(entrySettings.Instance.ID),
		LogOutput: os.Stderr,
		Settings:  entrySettings.Telemetry,
	}
	return daemon.Main(telemetryConfig, func(t *telemetry.Telemetry) (daemon.Program, error) {
		return entry.New(entryConfig(entrySettings), entryDeps(entrySettings, t))
	})
}

func entryConfig(entrySettings *settings.Entry) entry.Config {
	return entry.Config{
		Instance:             entrySettings.Instance,
		HTTPAddr:             entrySettings.HTTPAddr,
		FleetKey:             entrySettings.FleetKey,
		OperatorTokenDigests: entrySettings.OperatorTokenDigests,
		InitialDocument:      entrySettings.InitialDocument,
		OriginRegion:         entrySettings.OriginRegion,
		Policy:               entrySettings.Policy,
		MaxWaiting:           entrySettings.Limits.MaxWaiting,
		MaxBody:              entrySettings.Limits.MaxBodyBytes,
		CallerMemory:         int(entrySettings.Limits.CallersBytes),
		MaxConns:             entrySettings.Limits.MaxConns,
		AnswerBytes:          entrySettings.AnswerMiB << 20,
		HeaderTimeout:        entrySettings.Limits.HeaderTimeout,
		ShutdownGrace:        entrySettings.Limits.ShutdownGrace,
	}
}

func entryDeps(entrySettings *settings.Entry, t *telemetry.Telemetry) entry.Deps {
	return entry.Deps{
		KeyValue:     backing.NewHTTPKeyValue(platformConfig(entrySettings.Platform.KeyValueURL)),
		InstanceList: backing.NewHTTPInstanceList(platformConfig(entrySettings.Platform.InstanceListURL)),
		WeightStore:  backing.NewHTTPWeightStore(platformConfig(entrySettings.Platform.WeightStoreURL)),
		Logger:       t.Logger,
		Scope:        t.Scope,
		Tracer:       t.Tracer,
	}
}

func platformConfig(url string) backing.HTTPConfig {
	return backing.HTTPConfig{BaseURL: url, Timeout: platformTimeout}
}
