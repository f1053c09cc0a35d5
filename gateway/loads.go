package gateway

import (
	"context"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/places"
)

// followLoads asks the agents for load reports and takes them in until ctx
// ends.
func (g *Gateway) followLoads(ctx context.Context) error {
	conn, err := loadreport.Listen(ctx, g.config.DatagramAddr)
	if err != nil {
		return err
	}
	go g.askForLoads(ctx, conn)
	buffer := make([]byte, loadreport.MaxBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			g.deps.Logger.Warn("reading a load report failed", "error", err)
			continue
		}
		report, err := loadreport.DecodeReport(buffer[:n])
		if err != nil {
			g.deps.Logger.Warn("load report not usable", "error", err)
			continue
		}
		if report.Unbriefed {
			g.sendBrief(ctx, conn, from)
		}
		g.takeReport(time.Now(), from.Addr(), report)
	}
}

// askForLoads asks the agent of each endpoint with weights, again and again.
func (g *Gateway) askForLoads(ctx context.Context, conn *net.UDPConn) {
	began := time.Now()
	for {
		demand := g.demand()
		ask := loadreport.Ask{Demand: demand, Stamp: loadreport.TimestampAt(time.Since(g.born))}.Encode()
		for _, to := range g.agents() {
			if _, err := conn.WriteToUDPAddrPort(ask, to); err != nil && ctx.Err() == nil {
				g.deps.Logger.Warn("asking for load reports failed", "agent", to, "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(askPause(time.Since(began), demand)):
		}
	}
}

const (
	// earlyTime is how long after the start agents are asked every earlyPause:
	// after a loss of power they start at the same time.
	earlyTime  = 3 * time.Second
	earlyPause = 100 * time.Millisecond
)

// askPause returns the pause between two asks.
func askPause(sinceStart time.Duration, demand int) time.Duration {
	if sinceStart < earlyTime {
		return earlyPause
	}
	if demand > 0 {
		return loadreport.BusySubscribeInterval
	}
	return loadreport.SubscribeInterval
}

// demand is what waits here for places that agents report on.
func (g *Gateway) demand() int {
	total := 0.0
	for _, s := range *g.services.Load() {
		s.gate.Change(func(p *places.Pool) { total += p.Demand() })
	}
	return int(math.Ceil(total))
}

// agents returns the datagram addresses of the agents beside endpoints: the
// endpoint's instance at the entry's own port.
func (g *Gateway) agents() []netip.AddrPort {
	own, err := netip.ParseAddrPort(g.config.DatagramAddr)
	view := g.deps.Directory.View()
	if err != nil || view.Document == nil {
		return nil
	}
	var agents []netip.AddrPort
	for _, e := range view.Living() {
		service := view.Document.Services[e.Service]
		at, err := netip.ParseAddrPort(e.Address)
		if err == nil && service != nil && service.Engine != nil {
			agents = append(agents, netip.AddrPortFrom(at.Addr(), own.Port()))
		}
	}
	return agents
}

// takeReport takes in the report of the agent at an IP number.
func (g *Gateway) takeReport(now time.Time, from netip.Addr, r loadreport.Report) {
	endpoint := (*g.byAgent.Load())[from.Unmap()]
	if endpoint == nil {
		return
	}
	s := (*g.services.Load())[endpoint.Service]
	if s == nil {
		return
	}
	if r.Entries > 0 && int64(r.Entries) != g.entries.Load() {
		g.setEntries(r.Entries)
	}
	if service := g.deps.Directory.View().Document.Services[endpoint.Service]; service != nil && r.Age >= 0 {
		g.deps.Directory.MergeDeclaredVersion(service.Model, r.Declared, now.Add(-r.Age))
	}
	g.noteClosed(endpoint.ID, s, r.Closed)
	closesAt := time.Time{}
	if r.ClosesIn >= 0 {
		closesAt = now.Add(r.ClosesIn)
	}
	s.gate.Change(func(p *places.Pool) {
		p.Report(endpoint.ID, places.Report{
			At: now, Delay: g.delay(now, r.Echo), ClosesAt: closesAt, Demand: float64(r.Demand), Running: r.Running, Waiting: r.Waiting, Pace: r.Pace, Closed: r.Closed, Held: r.Held,
		})
	})
}

// delay returns how long the way to an agent and back takes, 0 if it is not
// known.
func (g *Gateway) delay(now time.Time, echo loadreport.Echo) time.Duration {
	if !echo.Known {
		return 0
	}
	return echo.RoundTrip(now.Sub(g.born))
}

// setEntries shares budgets and places among another number of entries.
func (g *Gateway) setEntries(n int) {
	g.entries.Store(int64(n))
	for _, s := range *g.services.Load() {
		s.budget.setEntries(n)
		s.gate.Change(func(p *places.Pool) { p.SetEntries(n) })
	}
}
