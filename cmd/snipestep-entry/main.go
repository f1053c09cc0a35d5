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
	s, err := settings.LoadEntry(f.Settings)
	if err != nil {
		return daemon.Fail(err)
	}
	if f.Check {
		return daemon.ExitOK
	}
	cfg := telemetry.Config{
		Program:   telemetry.ProgramEntry,
		Instance:  string(s.Instance.ID),
		LogOutput: os.Stderr,
		Settings:  s.Telemetry,
	}
	return daemon.Main(cfg, func(t *telemetry.Telemetry) (daemon.Program, error) {
		return entry.New(entryConfig(s), entryDeps(s, t))
	})
}

func entryConfig(s *settings.Entry) entry.Config {
	return entry.Config{
		Instance:             s.Instance,
		HTTPAddr:             s.HTTPAddr,
		FleetKey:             s.FleetKey,
		OperatorTokenDigests: s.OperatorTokenDigests,
		InitialDocument:      s.InitialDocument,
		OriginRegion:         s.OriginRegion,
		Policy:               s.Policy,
		MaxWaiting:           s.Limits.MaxWaiting,
		MaxBody:              s.Limits.MaxBodyBytes,
		HeaderTimeout:        s.Limits.HeaderTimeout,
		ShutdownGrace:        s.Limits.ShutdownGrace,
	}
}

func entryDeps(s *settings.Entry, t *telemetry.Telemetry) entry.Deps {
	return entry.Deps{
		KeyValue:     backing.NewHTTPKeyValue(platformConfig(s.Platform.KeyValueURL)),
		InstanceList: backing.NewHTTPInstanceList(platformConfig(s.Platform.InstanceListURL)),
		WeightStore:  backing.NewHTTPWeightStore(platformConfig(s.Platform.WeightStoreURL)),
		Logger:       t.Logger,
		Scope:        t.Scope,
		Tracer:       t.Tracer,
	}
}

func platformConfig(url string) backing.HTTPConfig {
	return backing.HTTPConfig{BaseURL: url, Timeout: platformTimeout}
}
