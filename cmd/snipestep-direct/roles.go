package main

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/gateway"
	"github.com/snipestep/snipestep/internal/daemon"
	"github.com/snipestep/snipestep/keeper"
	"github.com/snipestep/snipestep/platform"
	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	// endpointIdle is how long an unused connection to an endpoint is kept,
	// below the 10 s and less for which endpoints keep theirs.
	endpointIdle = 4 * time.Second
	// endpointConns is the number of unused connections kept to one endpoint;
	// eight entries stay below half of what an engine accepts.
	endpointConns = 16
)

func runEntry(ctx context.Context, s *settings.Direct, view *directory.Directory, t *telemetry.Telemetry) error {
	g := gateway.New(gateway.Config{
		Name:         s.Name,
		Region:       s.Location.Region,
		DatagramAddr: port(s, datagramPort),
		RetryRatio:   s.RetryRatio,
		RetryBurst:   s.RetryBurst,
		VersionBound: s.VersionBound,
		FleetKey:     s.FleetKey,
		Seed:         seed(s),
	}, gateway.Deps{
		Directory:   view,
		HeaderCodec: platform.Dialect{},
		Transport:   platform.NewTransport(endpointIdle, endpointConns),
		Logger:      t.Logger,
		Scope:       t.Scope,
	})
	server := &gateway.Server{Gateway: g, CallerAddr: s.CallerAddr, ReadyAddr: s.ReadyAddr, StopGrace: s.StopGrace, Logger: t.Logger}
	// Reports are followed until the last request has ended.
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

// bytesPerMegabit converts the rate of a link.
const bytesPerMegabit = 1e6 / 8

func runAgent(ctx context.Context, s *settings.Direct, view *directory.Directory, t *telemetry.Telemetry) error {
	k, err := keeper.New(keeper.Config{
		Name:               s.Name,
		Service:            s.Service,
		Endpoint:           s.Endpoint,
		DatagramAddr:       port(s, datagramPort),
		ChunkAddr:          port(s, chunkPort),
		Location:           s.Location,
		LinkBytesPerSecond: s.LinkMbps * bytesPerMegabit,
		FleetKey:           s.FleetKey,
		VersionBound:       s.VersionBound,
		Seed:               seed(s),
	}, keeper.Deps{
		Directory: view,
		Engine:    platform.NewEngine(s.Endpoint),
		Origin:    platform.NewOrigin(view),
		Logger:    t.Logger,
		Scope:     t.Scope,
	})
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.Run(groupCtx) })
	group.Go(func() error { return serveMetrics(groupCtx, s, t, serving) })
	return group.Wait()
}

// serveMetrics serves the metrics page until ctx ends. Without the page the
// process does its work all the same.
func serveMetrics(ctx context.Context, s *settings.Direct, t *telemetry.Telemetry, ready func() error) error {
	if s.Telemetry.MetricsAddr == "" {
		return nil
	}
	server, err := daemon.ServeMetrics(ctx, s.Telemetry.MetricsAddr, t, ready)
	if err != nil {
		t.Logger.Error("metrics page not served", "address", s.Telemetry.MetricsAddr, "error", err)
		return nil
	}
	<-ctx.Done()
	return server.Close()
}

// serving is the readiness of a role that serves as soon as it runs.
func serving() error {
	return nil
}

// droppedTick is how often the count of dropped log lines is shown.
const droppedTick = 5 * time.Second

// countDropped shows how many log lines were dropped.
func countDropped(ctx context.Context, scope tally.Scope, out *telemetry.BoundedWriter) {
	gauge := scope.Gauge(telemetry.MetricLogDropped)
	ticker := time.NewTicker(droppedTick)
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
