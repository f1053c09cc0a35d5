package gateway

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
)

// sendVersionAges sends each agent the ages of the declared versions of its model
// while one is pending, or if the agent takes one for younger. Agents that have all
// restarted since learn them from entries only.
func (g *Gateway) sendVersionAges(ctx context.Context, conn *net.UDPConn, agents []netip.AddrPort) {
	now := g.deps.Now()
	for _, agent := range agents {
		model := g.agentModel(agent.Addr())
		ages := loadreport.VersionAgesAt(now, g.deps.Directory.View().DeclaredVersion(model), g.config.VersionBound)
		_, requested := g.agesDue.LoadAndDelete(agent)
		if !requested && !ages.Pending(g.config.VersionBound) {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(ages.Encode(model, g.clocks.Stamp(now, agent)), agent); err != nil && ctx.Err() == nil {
			g.deps.Logger.Warn("sending the ages of declared versions failed", "agent", agent, "error", err)
		}
	}
}

// applyVersionAges merges the ages of declared versions that an agent knows.
func (g *Gateway) applyVersionAges(now time.Time, from netip.AddrPort, datagram []byte) {
	model := g.agentModel(from.Addr())
	if model == "" {
		return
	}
	decoded, err := loadreport.DecodeVersionAges(datagram)
	if err != nil {
		g.deps.Logger.Warn("malformed ages of declared versions", "from", from, "error", err)
		return
	}
	if ages, ok := decoded.Ages(model); ok {
		sentNotBefore, _ := g.clocks.Receive(now, from, decoded.Stamp)
		ages.MergeInto(g.deps.Directory, now, sentNotBefore, model)
		if ages.Younger(now, g.deps.Directory.View().DeclaredVersion(model)) {
			g.agesDue.Store(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), true)
		}
	}
}

// agentModel returns the model of the engine beside an agent, "" if unknown.
func (g *Gateway) agentModel(agent netip.Addr) string {
	endpoint := (*g.endpointByAgent.Load())[agent.Unmap()]
	document := g.deps.Directory.View().Document
	if endpoint == nil || document == nil {
		return ""
	}
	service := document.Services[endpoint.Service]
	if service == nil {
		return ""
	}
	return service.Model
}
