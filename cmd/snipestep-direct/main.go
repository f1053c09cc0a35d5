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
		err = checkRole(role, f.Settings, s)
	}
	if err != nil {
		return daemon.Fail(err)
	}
	if f.Check {
		return daemon.ExitOK
	}
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, role, f.Settings, s, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

// checkRole checks the keys that only one role needs.
func checkRole(role, path string, s *settings.Direct) error {
	missing := func(section, key string) error {
		return &settings.Error{File: path, Section: section, Key: key, Reason: settings.ErrMissing}
	}
	switch {
	case role == "entry" && s.CallerAddr == "":
		return missing("callers", "address")
	case role == "entry" && s.ReadyAddr == "":
		return missing("callers", "ready_address")
	case role == "agent" && s.Service == "":
		return missing("engine", "service")
	case role == "agent" && s.Endpoint == "":
		return missing("engine", "address")
	default:
		return nil
	}
}

func serve(ctx context.Context, role, path string, s *settings.Direct, out *telemetry.BoundedWriter) error {
	t, err := telemetry.Start(ctx, telemetry.Config{
		Program:   telemetry.ProgramDirect + "-" + role,
		Instance:  s.Name,
		LogOutput: out,
		Settings:  s.Telemetry,
	})
	if err != nil {
		return err
	}
	t.Logger.Info("started", "role", role, "region", s.Location.Region, "store", s.StoreAddr)
	view := directory.New(t.Logger)
	store := platform.NewStore(s.StoreAddr)
	newFollower := platform.NewFollower
	if role == "agent" {
		newFollower = platform.NewAgentFollower
	}
	follower := newFollower(store, view, s.Regions, t.Logger)
	follower.InitialVersionAge = max(s.VersionBound-restartGrace, 0)
	go follower.Run(ctx)
	go reload(ctx, path, s, store, t.Logger)
	go countDropped(ctx, t.Scope, out)
	if role == "entry" {
		err = runEntry(ctx, s, view, t)
	} else {
		err = runAgent(ctx, s, view, t)
	}
	t.Logger.Info("ended", "error", err)
	return err
}

// restartGrace is how long a process that has just started, and learns no
// better, lets requests begin on a version older than the declared one.
const restartGrace = 2500 * time.Millisecond

// port returns an address of this instance at one of the fleet's ports.
func port(s *settings.Direct, offset int) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+offset))
}

// The offsets of the fleet's ports.
const (
	datagramPort = 0
	chunkPort    = 1
)

// seed differs between instances and is the same in every run of one.
func seed(s *settings.Direct) uint64 {
	return xxhash.Sum64String(s.Name)
}
