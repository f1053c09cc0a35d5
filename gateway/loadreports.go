package gateway

import (
	"context"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// receiveLoadReports subscribes to the agents' load reports and applies them
// until ctx ends.
func (g *Gateway) receiveLoadReports(ctx context.Context) error {
	conn, err := loadreport.Listen(ctx, g.config.DatagramAddr)
	if err != nil {
		return err
	}
	go g.subscribeToLoadReports(ctx, conn)
	go g.sendStrikes(ctx, conn)
	go g.exchangeRateLimits(ctx, conn)
	buffer := make([]byte, loadreport.MaxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			g.deps.Logger.Warn("reading a load report failed", "error", err)
			continue
		}
		if loadreport.IsVersionAges(buffer[:n]) {
			g.applyVersionAges(g.deps.Now(), from, buffer[:n])
			continue
		}
		if loadreport.IsStrikes(buffer[:n]) {
			g.applyStrikes(from, buffer[:n])
			continue
		}
		if loadreport.IsRateLimits(buffer[:n]) {
			g.receiveRateLimits(time.Now(), from, buffer[:n])
			continue
		}
		report, err := loadreport.DecodeReport(buffer[:n])
		if err != nil {
			g.deps.Logger.Warn("malformed load report", "error", err)
			continue
		}
		if report.NeedsConfig {
			g.sendAgentConfig(ctx, conn, from)
		}
		if report.WantsEngines {
			g.sendEngineList(ctx, conn, from, report.EngineListDigest)
		}
		g.applyReport(time.Now(), from.Addr(), report)
	}
}

// subscribeToLoadReports renews the subscriptions to the agents of all model
// endpoints until ctx ends.
func (g *Gateway) subscribeToLoadReports(ctx context.Context, conn *net.UDPConn) {
	startedAt := time.Now()
	versionAgesSentAt := time.Time{}
	pace := new(subscriptionPace)
	for {
		agents := g.agentAddrs()
		if len(agents) > 0 && time.Since(versionAgesSentAt) >= loadreport.VersionAgesInterval {
			versionAgesSentAt = time.Now()
			g.sendVersionAges(ctx, conn, agents)
		}
		g.reportLocality()
		demand := g.queuedDemand()
		g.subscribe(ctx, conn, demand, pace.selectAgents(time.Now(), agents, g.isInOwnRegion, demand))
		select {
		case <-ctx.Done():
			return
		case <-time.After(subscribeInterval(time.Since(startedAt), demand)):
		}
	}
}

// subscribe sends subscriptions to agents.
func (g *Gateway) subscribe(ctx context.Context, conn *net.UDPConn, demand int, agents []netip.AddrPort) {
	subscription := loadreport.Subscription{
		Demand: demand, Timestamp: loadreport.TimestampAt(time.Since(g.startedAt)), OffersEngines: g.deps.Directory.View().StoreUp,
	}
	for _, agent := range agents {
		subscription.SameRegion = g.isInOwnRegion(agent.Addr())
		if _, err := conn.WriteToUDPAddrPort(subscription.Encode(), agent); err != nil && ctx.Err() == nil {
			g.deps.Logger.Warn("subscribing to load reports failed", "agent", agent, "error", err)
		}
	}
}

const (
	// startupPeriod is how long after the start subscriptions are renewed every
	// startupSubscribeInterval: agents start at the same time after a power
	// failure.
	startupPeriod            = 3 * time.Second
	startupSubscribeInterval = 100 * time.Millisecond
)

// subscribeInterval returns the time until subscriptions are renewed.
func subscribeInterval(sinceStart time.Duration, demand int) time.Duration {
	if sinceStart < startupPeriod {
		return startupSubscribeInterval
	}
	if demand > 0 {
		return loadreport.BusySubscribeInterval
	}
	return loadreport.SubscribeInterval
}

// queuedDemand returns the weighted demand of the requests that are queued at this
// entry for services whose agents report the load.
func (g *Gateway) queuedDemand() int {
	total := 0.0
	for _, s := range *g.services.Load() {
		s.gate.Update(func(p *admission.Pool) { total += p.Demand() })
	}
	return int(math.Ceil(total))
}

// agentAddrs returns the datagram addresses of the agents: the IP addresses of
// their endpoints with the entry's own port.
func (g *Gateway) agentAddrs() []netip.AddrPort {
	ownAddr, err := netip.ParseAddrPort(g.config.DatagramAddr)
	view := g.deps.Directory.View()
	if err != nil || view.Document == nil {
		return nil
	}
	var addrs []netip.AddrPort
	for _, e := range view.LatestEndpoints() {
		service := view.Document.Services[e.Service]
		endpointAddr, err := netip.ParseAddrPort(e.Address)
		if err == nil && service != nil && service.Engine != nil {
			addrs = append(addrs, netip.AddrPortFrom(endpointAddr.Addr(), ownAddr.Port()))
		}
	}
	return addrs
}

// applyReport applies the load report of the agent at an IP address.
func (g *Gateway) applyReport(now time.Time, from netip.Addr, report loadreport.Report) {
	endpoint := (*g.endpointByAgent.Load())[from.Unmap()]
	if endpoint == nil {
		return
	}
	s := (*g.services.Load())[endpoint.Service]
	if s == nil {
		return
	}
	closesAt := time.Time{}
	if report.ClosesIn >= 0 {
		closesAt = now.Add(report.ClosesIn)
	}
	isNewest, believedVersion := false, uint64(0)
	s.gate.Update(func(p *admission.Pool) {
		believedVersion = p.LoadedVersion(now, endpoint.ID)
		isNewest = p.Report(endpoint.ID, admission.Report{
			ReceivedAt: now, Order: g.reportOrder(now, report.Echo), RoundTrip: g.agentRoundTrip(now, report.Echo), ClosesAt: closesAt, Demand: float64(report.Demand), Running: report.Running, Waiting: report.Waiting, Slowdown: report.Slowdown, Closed: report.Closed, LoadedVersion: report.LoadedVersion,
			Start: startOf(report),
		})
	})
	if !isNewest {
		return
	}
	// An engine that loads a version reports 0.
	if report.LoadedVersion != 0 && report.LoadedVersion < believedVersion {
		g.metrics.recordVersionCorrection(s.name)
		g.deps.Logger.Warn("endpoint has an older version than was believed", "endpoint", endpoint.ID, "held", report.LoadedVersion, "believed", believedVersion)
	}
	if report.Entries > 0 && int64(report.Entries) != g.entryCount.Load() {
		g.setEntryCount(report.Entries)
	}
	g.observeColdEntries(now, report)
	g.handleClosed(endpoint.ID, report.Closed)
}

// reportOrder orders the reports of an agent by the time at which it sent them, 0 if
// unknown.
func (g *Gateway) reportOrder(now time.Time, echo loadreport.Echo) int64 {
	if !echo.Known {
		return 0
	}
	return echo.Order(now.Sub(g.startedAt))
}

// agentRoundTrip returns the round-trip time to an agent, 0 if unknown.
func (g *Gateway) agentRoundTrip(now time.Time, echo loadreport.Echo) time.Duration {
	if !echo.Known {
		return 0
	}
	return echo.RoundTrip(now.Sub(g.startedAt))
}

// setEntryCount divides retry budgets and slots among n entries.
func (g *Gateway) setEntryCount(n int) {
	g.entryCount.Store(int64(n))
	for _, s := range *g.services.Load() {
		s.retryBudget.setEntryCount(n)
		s.gate.Update(func(p *admission.Pool) { p.SetEntryCount(n) })
	}
	g.shareRateLimits(time.Now())
}
