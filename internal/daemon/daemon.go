package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/telemetry"
)

// Exit statuses. ExitSettings reports invalid settings.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

const (
	flushTimeout      = 3 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// errNotReady is the response of /readyz before the program serves.
var errNotReady = eris.New("not serving yet")

// Program is the long-running part of a daemon.
type Program interface {
	// Run serves until ctx ends, then shuts down gracefully.
	Run(ctx context.Context) error
	// Ready returns a channel that is closed once the program serves.
	Ready() <-chan struct{}
}

// Main runs the program that start returns until SIGTERM or SIGINT. It returns
// the exit status.
func Main(cfg telemetry.Config, start func(t *telemetry.Telemetry) (Program, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, cfg, start); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStatus(err)
	}
	return ExitOK
}

func exitStatus(err error) int {
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return ExitSettings
	}
	return ExitFailure
}

// Fail prints err to standard error and returns the exit status for it.
func Fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitStatus(err)
}

func run(ctx context.Context, cfg telemetry.Config, start func(t *telemetry.Telemetry) (Program, error)) error {
	t, err := telemetry.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer flush(t)
	program, err := start(t)
	if err != nil {
		return err
	}
	if cfg.Settings.MetricsAddr != "" {
		server, err := ServeMetrics(ctx, cfg.Settings.MetricsAddr, t, readinessCheck(program))
		if err != nil {
			return err
		}
		defer func() { _ = server.Close() }()
	}
	return program.Run(ctx)
}

func flush(t *telemetry.Telemetry) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = t.Shutdown(ctx)
}

// ServeMetrics serves metrics, health and readiness at addr (IP:port) until the
// returned server is closed. It does not block. Readiness succeeds while ready
// returns nil.
func ServeMetrics(ctx context.Context, addr string, t *telemetry.Telemetry, ready func() error) (*http.Server, error) {
	var cfg net.ListenConfig
	listener, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for metrics on %s", addr)
	}
	server := &http.Server{Handler: t.Handler(ready), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// readinessCheck returns a function that fails until the program serves.
func readinessCheck(p Program) func() error {
	return func() error {
		select {
		case <-p.Ready():
			return nil
		default:
			return errNotReady
		}
	}
}
