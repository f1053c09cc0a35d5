package gateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/snipestep/snipestep/loadreport"
)

const (
	// newsRelays is the number of agents to which new strikes are sent. Any of them
	// reaches all entries; eight cover all regions and lost datagrams.
	newsRelays = 8
	// snapshotRelays is the number of agents to which the known strikes are sent every
	// snapshotInterval, for agents and entries that missed them or have restarted.
	snapshotRelays   = 2
	snapshotInterval = time.Second
)

// sendStrikes sends new strikes at once and all known ones regularly until ctx ends.
func (g *Gateway) sendStrikes(ctx context.Context, conn *net.UDPConn) {
	snapshots := time.NewTicker(snapshotInterval)
	defer snapshots.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.strikeNews.ready:
			g.sendToRelays(ctx, conn, g.strikeNews.take(), newsRelays)
		case <-snapshots.C:
			g.metrics.updateQuarantined(g.strikes.Quarantined())
			g.confirmParts()
			g.sendToRelays(ctx, conn, g.strikes.Snapshot(), snapshotRelays)
		}
	}
}

// sendToRelays sends strikes to some agents, chosen at random.
func (g *Gateway) sendToRelays(ctx context.Context, conn *net.UDPConn, all loadreport.Strikes, relays int) {
	if len(all) == 0 {
		return
	}
	agents := g.randomAgents(relays)
	for part := range slices.Chunk(all, loadreport.MaxStrikes) {
		datagram := part.Encode(g.config.FleetKey)
		for _, agent := range agents {
			if _, err := conn.WriteToUDPAddrPort(datagram, agent); err != nil && ctx.Err() == nil {
				g.deps.Logger.Warn("sending strikes failed", "agent", agent, "error", err)
			}
		}
	}
}

// randomAgents returns up to n agents.
func (g *Gateway) randomAgents(n int) []netip.AddrPort {
	agents := g.agentAddrs()
	for i := range min(n, len(agents)) {
		j := i + int(g.random.uniform()*float64(len(agents)-i))
		agents[i], agents[j] = agents[j], agents[i]
	}
	return agents[:min(n, len(agents))]
}

// applyStrikes records the strikes that an agent passed on.
func (g *Gateway) applyStrikes(from netip.AddrPort, datagram []byte) {
	received, err := loadreport.DecodeStrikes(g.config.FleetKey, datagram)
	if err != nil {
		g.deps.Logger.Warn("strikes rejected", "from", from, "error", err)
		return
	}
	contradicted := g.contradict(received)
	news, quarantined := g.strikes.Merge(received)
	if contradicted {
		absolved := slices.DeleteFunc(news, func(s loadreport.Strike) bool { return !s.Absolved })
		g.strikeNews.add(absolved)
		g.deps.Logger.Info("strikes against parts of prompts that are answered here contradicted", "from", from, "strikes", len(absolved))
	}
	for _, verdict := range quarantined {
		g.startQuarantine(verdict, "other entries")
	}
}
