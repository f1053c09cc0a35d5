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

// The exit statuses of programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

const (
	flushTimeout      = 3 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// errNotReady is what /readyz answers before the program serves.
var errNotReady = eris.New("not serving yet")

// Program is a long-running part of a daemon.
type Program interface {
	// Run serves until ctx ends, then shuts down gracefully.
	Run(ctx context.Context) error
	// Ready is closed once the program serves.
	Ready() <-chan struct{}
}

// Main runs the program that start makes until SIGTERM or SIGINT and returns
// the exit status.
func Main(cfg telemetry.Config, start func(t *telemetry.Telemetry) (Program, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, cfg, start); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return status(err)
	}
	return ExitOK
}

func status(err error) int {
	var bad *settings.Error
	if errors.As(err, &bad) {
		return ExitSettings
	}
	return ExitFailure
}

// Fail prints an error of the settings and returns its exit status.
func Fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return status(err)
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
		server, err := ServeMetrics(ctx, cfg.Settings.MetricsAddr, t, readiness(program))
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
// returned server is closed. It does not block. ready returns nil once the
// program serves.
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

// readiness asks a program whether it serves.
func readiness(p Program) func() error {
	return func() error {
		select {
		case <-p.Ready():
			return nil
		default:
			return errNotReady
		}
	}
}
