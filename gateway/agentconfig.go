package gateway

import (
	"context"
	"net"
	"net/netip"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// sendAgentConfig sends an agent configuration to an agent without a document. If
// the datagram is lost, the agent's next report triggers another transmission.
func (g *Gateway) sendAgentConfig(ctx context.Context, conn *net.UDPConn, to netip.AddrPort) {
	endpoint := (*g.endpointByAgent.Load())[to.Addr().Unmap()]
	document := g.deps.Directory.View().Document
	if endpoint == nil || document == nil {
		return
	}
	agentConfig, ok := newAgentConfig(document, endpoint.Service)
	if !ok {
		return
	}
	datagram, err := agentConfig.Encode(g.config.FleetKey)
	if err != nil {
		g.deps.Logger.Warn("agent configuration does not fit a datagram", "service", endpoint.Service, "error", err)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil && ctx.Err() == nil {
		g.deps.Logger.Warn("sending an agent configuration failed", "agent", to, "error", err)
	}
}

// newAgentConfig returns the agent configuration for a service. It returns false for
// a service without engines.
func newAgentConfig(document *directory.Document, serviceName string) (loadreport.AgentConfig, bool) {
	service := document.Services[serviceName]
	if service == nil || service.Engine == nil {
		return loadreport.AgentConfig{}, false
	}
	engine := service.Engine
	agentConfig := loadreport.AgentConfig{
		DocumentVersion: document.Version,
		Service: loadreport.ServiceConfig{
			Name: service.Name, Model: service.Model, Slots: engine.Slots, Layers: engine.Layers,
			Chunks: engine.Chunks, ChunkBytes: engine.ChunkBytes, PrefillTokensPerSecond: engine.PrefillTokensPerSecond,
		},
	}
	if origin := document.OriginService(); origin != nil {
		agentConfig.Origin = loadreport.OriginConfig{Name: origin.Name, Address: origin.OriginAddress, FailureDomain: origin.OriginFailureDomain}
	}
	return agentConfig, true
}
