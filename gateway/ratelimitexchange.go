package gateway

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// dividingRelays is the number of agents that divide rate limits among the entries. All
// entries choose the same ones, so that each of them knows the demand of all.
const dividingRelays = 3

// rateLimitNewsInterval bounds how often changes are sent: endpoints may change their limits
// with each response.
const rateLimitNewsInterval = 200 * time.Millisecond

// exchangeRateLimits exchanges rate limits with the agents, and through them with the other
// entries, until ctx ends: at once when they change, and regularly for shares by the present
// demand.
func (g *Gateway) exchangeRateLimits(ctx context.Context, conn *net.UDPConn) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.rateLimitNews:
			g.sendRateLimits(ctx, conn, g.dividingAgents(time.Now()))
			delay.For(ctx, rateLimitNewsInterval)
		case <-ticker.C:
			g.measureDemand(time.Now())
			g.shareRateLimits(time.Now())
			g.sendRateLimits(ctx, conn, g.dividingAgents(time.Now()))
		}
	}
}

// measureDemand samples the demand for each service.
func (g *Gateway) measureDemand(now time.Time) {
	for _, s := range *g.services.Load() {
		arrivals := 0.0
		s.gate.Inspect(func(p *admission.Pool) { arrivals = p.ArrivalRate(now) })
		s.rateLimitShare.addDemand(arrivals)
	}
}

// dividingAgents returns the agents that divide rate limits: those with the lowest hashes
// among the ones that report.
func (g *Gateway) dividingAgents(now time.Time) []netip.AddrPort {
	reporting := make(map[netip.Addr]bool)
	byAgent := *g.endpointByAgent.Load()
	services := *g.services.Load()
	for addr, endpoint := range byAgent {
		if s := services[endpoint.Service]; s != nil {
			s.gate.Inspect(func(p *admission.Pool) { reporting[addr] = p.Reports(now, endpoint.ID) })
		}
	}
	agents := slices.DeleteFunc(g.agentAddrs(), func(agent netip.AddrPort) bool { return !reporting[agent.Addr()] })
	slices.SortFunc(agents, func(a, b netip.AddrPort) int {
		return cmp.Compare(xxhash.Sum64String(a.String()), xxhash.Sum64String(b.String()))
	})
	return agents[:min(len(agents), dividingRelays)]
}

// sendRateLimits sends the known rate limits and the demand to agents, nothing if no limit
// is known.
func (g *Gateway) sendRateLimits(ctx context.Context, conn *net.UDPConn, agents []netip.AddrPort) {
	known := g.knownRateLimits(time.Now())
	if len(known) == 0 {
		return
	}
	for _, datagram := range (loadreport.RateLimits{Demands: g.demands(), Limits: known}).EncodeAll(g.config.FleetKey) {
		for _, agent := range agents {
			if _, err := conn.WriteToUDPAddrPort(datagram, agent); err != nil && ctx.Err() == nil {
				g.deps.Logger.Warn("sending rate limits failed", "agent", agent, "error", err)
			}
		}
	}
}

// demands returns the demand for the services with rate limits.
func (g *Gateway) demands() []loadreport.ServiceDemand {
	var demands []loadreport.ServiceDemand
	for name, s := range *g.services.Load() {
		if s.knowsRateLimits.Load() {
			demands = append(demands, loadreport.ServiceDemand{Service: loadreport.ServiceHash(name), PerSecond: s.rateLimitShare.lastDemand()})
		}
	}
	return demands
}

// knownRateLimits returns what is known of the rate limits of listed endpoints, newest
// first.
func (g *Gateway) knownRateLimits(now time.Time) []loadreport.RateLimit {
	var known []loadreport.RateLimit
	view := g.deps.Directory.View()
	for _, s := range *g.services.Load() {
		if !s.knowsRateLimits.Load() {
			continue
		}
		s.gate.Inspect(func(p *admission.Pool) {
			for id, notice := range p.RateLimitNotices() {
				endpoint := view.Endpoints[id]
				if endpoint == nil {
					continue
				}
				known = append(known, loadreport.RateLimit{
					Incarnation: endpoint.IncarnationHash(), Limited: notice.Limited, PerSecond: notice.PerSecond, Age: now.Sub(notice.At),
				})
			}
		})
	}
	loadreport.SortNewestFirst(known)
	return known
}

// receiveRateLimits applies the rate limits and the shares that an agent names.
func (g *Gateway) receiveRateLimits(now time.Time, from netip.AddrPort, datagram []byte) {
	received, err := loadreport.DecodeRateLimits(g.config.FleetKey, datagram)
	if err != nil {
		g.deps.Logger.Warn("rate limits rejected", "from", from, "error", err)
		return
	}
	g.applyShares(now, received.Shares)
	g.applyReportedRateLimits(now, received.Limits)
}

// applyShares applies the shares of this entry that an agent names.
func (g *Gateway) applyShares(now time.Time, shares []loadreport.ServiceShare) {
	if len(shares) == 0 {
		return
	}
	services := *g.services.Load()
	for name, s := range services {
		hash := loadreport.ServiceHash(name)
		if i := slices.IndexFunc(shares, func(share loadreport.ServiceShare) bool { return share.Service == hash }); i >= 0 {
			s.rateLimitShare.set(now, shares[i].Lower, shares[i].Upper)
		}
	}
	g.shareRateLimits(now)
}

// applyReportedRateLimits applies the rate limits that an agent names. With the first one of
// a service the agents are told of the demand for it.
func (g *Gateway) applyReportedRateLimits(now time.Time, limits []loadreport.RateLimit) {
	if len(limits) == 0 {
		return
	}
	byIncarnation := make(map[uint64]loadreport.RateLimit, len(limits))
	for _, limit := range limits {
		byIncarnation[limit.Incarnation] = limit
	}
	services := *g.services.Load()
	for _, endpoint := range g.deps.Directory.View().LatestEndpoints() {
		limit, found := byIncarnation[endpoint.IncarnationHash()]
		service := services[endpoint.Service]
		if !found || service == nil {
			continue
		}
		notice := admission.RateLimitNotice{Limited: limit.Limited, PerSecond: limit.PerSecond, At: now.Add(-limit.Age)}
		knownBefore := service.knowsRateLimits.Load()
		if g.applyRateLimit(service, endpoint, notice, sourceEntries) && !knownBefore {
			g.signalRateLimitNews()
		}
	}
}

// signalRateLimitNews makes exchangeRateLimits send the rate limits at once.
func (g *Gateway) signalRateLimitNews() {
	select {
	case g.rateLimitNews <- struct{}{}:
	default: // It is signalled already.
	}
}

// shareRateLimits makes all pools use the present shares of this entry.
func (g *Gateway) shareRateLimits(now time.Time) {
	for _, s := range *g.services.Load() {
		share := s.rateLimitShare.get(now, g.entryCount.Load())
		s.gate.Update(func(p *admission.Pool) { p.SetRateLimitShare(share) })
	}
}
