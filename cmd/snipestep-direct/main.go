package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/daemon"
	"github.com/snipestep/snipestep/platform"
	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/telemetry"
)

type flags struct {
	Settings string `env:"SNIPESTEP_NODE_FILE" type:"path" required:"" help:"INI file with the settings."`
	Check    bool   `help:"Check the settings and exit."`

	Entry struct{} `cmd:"" help:"Serve callers."`
	Agent struct{} `cmd:"" help:"Keep the weights of the engine on this instance."`
}

func main() {
	var f flags
	parsed := kong.Parse(&f, kong.Name(telemetry.ProgramDirect), kong.Description("Serves callers from directly called endpoints."))
	os.Exit(run(parsed.Command(), f))
}

func run(role string, f flags) int {
	s, err := settings.LoadDirect(f.Settings)
	if err == nil {
		err = checkRequiredKeys(role, f.Settings, s)
	}
	if err != nil {
		return daemon.Fail(err)
	}
	if f.Check {
		return daemon.ExitOK
	}
	out := telemetry.NewNonBlockingWriter(os.Stdout)
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, role, f.Settings, s, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

// checkRequiredKeys checks that the settings that only one role requires are set.
func checkRequiredKeys(role, path string, s *settings.Direct) error {
	missing := func(section, key string) error {
		return &settings.Error{File: path, Section: section, Key: key, Reason: settings.ErrMissingKey}
	}
	switch {
	case role == "entry" && s.CallerAddr == "":
		return missing("callers", "address")
	case role == "entry" && s.ReadyAddr == "":
		return missing("callers", "ready_address")
	case role == "agent" && s.Service == "":
		return missing("engine", "service")
	case role == "agent" && s.EngineAddr == "":
		return missing("engine", "address")
	default:
		return nil
	}
}

func serve(ctx context.Context, role, path string, s *settings.Direct, out *telemetry.NonBlockingWriter) error {
	t, err := telemetry.Start(ctx, telemetry.Config{
		Program:   telemetry.ProgramDirect + "-" + role,
		Instance:  s.InstanceID,
		LogOutput: out,
		Settings:  s.Telemetry,
	})
	if err != nil {
		return err
	}
	t.Logger.Info("started", "role", role, "region", s.Location.Region, "store", s.StoreAddr)
	deployment := directory.New(t.Logger)
	store := platform.NewStore(s.StoreAddr)
	if err := t.AddLiveGauges(store.AnswerAge(), store.Era()); err != nil {
		return err
	}
	newFollower := platform.NewFollower
	if role == "agent" {
		newFollower = platform.NewAgentFollower
	}
	follower := newFollower(store, deployment, s.Regions, t.Logger)
	follower.InitialVersionAge = max(s.VersionBound-staleVersionGrace, 0)
	go watchSettings(ctx, path, s, store, t.Logger)
	go reportDroppedLines(ctx, t.Scope, out)
	sampler := telemetry.NewSampler(t.Scope)
	connguard.SampleBrokenResponses(sampler)
	go sampler.Run(ctx)
	if role == "entry" {
		err = runEntry(ctx, s, deployment, follower, t)
	} else {
		err = runAgent(ctx, s, deployment, follower, t)
	}
	t.Logger.Info("ended", "error", err)
	return err
}

// staleVersionGrace is how long a newly started process allows requests to start on a
// version older than the declared one, unless it learns the age of the declaration.
const staleVersionGrace = 2500 * time.Millisecond

// portAddr returns this instance's address at the given offset from its first port.
func portAddr(s *settings.Direct, offset int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+offset))
}

// Port offsets, counted from the first port.
const (
	datagramPortOffset = 0
	chunkPortOffset    = 1
)

// instanceSeed derives a random seed that differs between instances and stays the
// same when an instance restarts.
func instanceSeed(s *settings.Direct) uint64 {
	return xxhash.Sum64String(s.InstanceID)
}
