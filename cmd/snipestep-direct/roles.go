package main

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/gateway"
	"github.com/snipestep/snipestep/internal/bootclock"
	"github.com/snipestep/snipestep/internal/daemon"
	"github.com/snipestep/snipestep/platform"
	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/sidecar"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	// endpointIdleTimeout is how long an idle connection to an endpoint is kept. It
	// is below the endpoints' own idle timeouts, which are at most 10 s.
	endpointIdleTimeout = 4 * time.Second
	// maxIdleConnsPerEndpoint keeps the idle connections of eight entries below
	// half of what an engine accepts.
	maxIdleConnsPerEndpoint = 16
)

func runEntry(ctx context.Context, s *settings.Direct, deployment *directory.Directory, follower *platform.Follower, t *telemetry.Telemetry) error {
	limitMemory(s)
	go follower.Run(ctx)
	g := gateway.New(gateway.Config{
		Name:               s.InstanceID,
		Region:             s.Location.Region,
		FailureDomain:      s.Location.FailureDomain,
		Locality:           s.Locality.Enabled,
		LocalityPricePerKB: s.Locality.PricePerKB(),
		DatagramAddr:       portAddr(s, datagramPortOffset),
		RetryRatio:         s.RetryRatio,
		RetryBurst:         s.RetryBurst,
		VersionBound:       s.VersionBound,
		ColdExcess:         s.Admission.ColdExcess,
		ColdExtra:          s.Admission.ColdExtra,
		FleetKey:           s.FleetKey,
		UseSlowdown:        s.Admission.UseSlowdown,
		Seed:               instanceSeed(s),
	}, gateway.Deps{
		Directory:   deployment,
		HeaderCodec: platform.HeaderCodec{},
		Transport:   platform.NewTransport(endpointIdleTimeout, maxIdleConnsPerEndpoint),
		Prober:      platform.NewEngineProber(),
		Now:         bootclock.Now,
		Logger:      t.Logger,
		Scope:       t.Scope,
	})
	if err := t.AddLiveGauges(g.LiveGauges()...); err != nil {
		return err
	}
	server := &gateway.Server{
		Gateway: g, CallerAddr: s.CallerAddr, ReadyAddr: s.ReadyAddr, StopGrace: s.StopGrace,
		CallerMemory: s.CallersMiB << 20, MaxConns: s.MaxConns, Logger: t.Logger,
	}
	// The gateway receives reports until the last request has ended.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(running)
	group.Go(func() error { return g.Run(groupCtx) })
	group.Go(func() error { return serveMetrics(groupCtx, s, t, g.CheckReady) })
	group.Go(func() error {
		defer stop()
		return server.Run(ctx)
	})
	return group.Wait()
}

const bytesPerMegabit = 1e6 / 8

func runAgent(ctx context.Context, s *settings.Direct, deployment *directory.Directory, follower *platform.Follower, t *telemetry.Telemetry) error {
	reconciler, err := sidecar.New(sidecar.Config{
		Name:               s.InstanceID,
		Service:            s.Service,
		EngineAddr:         s.EngineAddr,
		DatagramAddr:       portAddr(s, datagramPortOffset),
		ChunkAddr:          portAddr(s, chunkPortOffset),
		Location:           s.Location,
		Regions:            s.Regions,
		LinkBytesPerSecond: s.LinkMbps * bytesPerMegabit,
		FleetKey:           s.FleetKey,
		VersionBound:       s.VersionBound,
		Seed:               instanceSeed(s),
	}, sidecar.Deps{
		Directory: deployment,
		Engine:    platform.NewEngine(s.EngineAddr),
		Origin:    platform.NewOrigin(deployment),
		Now:       bootclock.Now,
		Logger:    t.Logger,
		Scope:     t.Scope,
	})
	if err != nil {
		return err
	}
	follower.EnginesProvided = reconciler.EnginesProvided
	go follower.Run(ctx)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return reconciler.Run(groupCtx) })
	group.Go(func() error { return serveMetrics(groupCtx, s, t, alwaysReady) })
	return group.Wait()
}

// serveMetrics serves the metrics page until ctx ends. A failure to serve it is
// logged and does not stop the process.
func serveMetrics(ctx context.Context, s *settings.Direct, t *telemetry.Telemetry, ready func() error) error {
	if s.Telemetry.MetricsAddr == "" {
		return nil
	}
	server, err := daemon.ServeMetrics(ctx, s.Telemetry.MetricsAddr, t, ready)
	if err != nil {
		t.Logger.Error("cannot serve metrics page", "address", s.Telemetry.MetricsAddr, "error", err)
		return nil
	}
	<-ctx.Done()
	return server.Close()
}

// alwaysReady is the readiness check of a role that is ready as soon as it runs.
func alwaysReady() error {
	return nil
}

// droppedLinesInterval is how often the number of dropped log lines is reported.
const droppedLinesInterval = 5 * time.Second

// reportDroppedLines reports the number of dropped log lines as a metric.
func reportDroppedLines(ctx context.Context, scope tally.Scope, out *telemetry.NonBlockingWriter) {
	gauge := scope.Gauge(telemetry.MetricDroppedLogLines)
	ticker := time.NewTicker(droppedLinesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			gauge.Update(float64(out.Dropped()))
		}
	}
}
