package gateway

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// rateLimitPlaceTTL is how long this entry's place among the entries is used: some agent
// confirms it every second while there are rate limits.
const rateLimitPlaceTTL = 10 * time.Second

// exchangeRateLimits tells agents, and through them the other entries, of the rate limits
// that this entry knows until ctx ends: at once of changes, and regularly of all, to which
// each agent answers with what it knows.
func (g *Gateway) exchangeRateLimits(ctx context.Context, conn *net.UDPConn) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.rateLimitNews:
			g.sendRateLimits(ctx, conn, newsRelays)
		case <-ticker.C:
			g.rateLimitPlace.expire(time.Now())
			g.placeRateLimits()
			g.sendRateLimits(ctx, conn, snapshotRelays)
		}
	}
}

// sendRateLimits sends the known rate limits to some agents, nothing if there are none.
func (g *Gateway) sendRateLimits(ctx context.Context, conn *net.UDPConn, relays int) {
	known := g.knownRateLimits(time.Now())
	if len(known) == 0 {
		return
	}
	datagram := loadreport.RateLimits{Limits: known}.Encode(g.config.FleetKey)
	for _, agent := range g.randomAgents(relays) {
		if _, err := conn.WriteToUDPAddrPort(datagram, agent); err != nil && ctx.Err() == nil {
			g.deps.Logger.Warn("sending rate limits failed", "agent", agent, "error", err)
		}
	}
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
		s.gate.Update(func(p *admission.Pool) {
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

// receiveRateLimits applies the rate limits that an agent knows.
func (g *Gateway) receiveRateLimits(now time.Time, from netip.AddrPort, datagram []byte) {
	received, err := loadreport.DecodeRateLimits(g.config.FleetKey, datagram)
	if err != nil {
		g.deps.Logger.Warn("rate limits rejected", "from", from, "error", err)
		return
	}
	if received.Entries > 0 {
		g.rateLimitPlace.set(now, admission.RateLimitPlace{Entries: received.Entries, Position: received.Position, Known: true})
		g.placeRateLimits()
	}
	if len(received.Limits) == 0 {
		return
	}
	byIncarnation := make(map[uint64]loadreport.RateLimit, len(received.Limits))
	for _, limit := range received.Limits {
		byIncarnation[limit.Incarnation] = limit
	}
	services := *g.services.Load()
	for _, endpoint := range g.deps.Directory.View().LatestEndpoints() {
		limit, found := byIncarnation[endpoint.IncarnationHash()]
		if service := services[endpoint.Service]; found && service != nil {
			notice := admission.RateLimitNotice{Limited: limit.Limited, PerSecond: limit.PerSecond, At: now.Add(-limit.Age)}
			g.applyRateLimit(service, endpoint.ID, notice, sourceEntries)
		}
	}
}

// placeRateLimits makes all pools use this entry's place among the entries.
func (g *Gateway) placeRateLimits() {
	place := g.rateLimitPlace.get(int(g.entryCount.Load()))
	for _, s := range *g.services.Load() {
		s.gate.Update(func(p *admission.Pool) { p.SetRateLimitPlace(place) })
	}
}
