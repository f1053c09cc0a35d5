package gateway

import (
	"context"
	"net"
	"net/netip"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// sendBrief tells an agent that knows no document what it needs of the one in
// force. A lost datagram is sent again after the agent's next report.
func (g *Gateway) sendBrief(ctx context.Context, conn *net.UDPConn, to netip.AddrPort) {
	endpoint := (*g.byAgent.Load())[to.Addr().Unmap()]
	document := g.deps.Directory.View().Document
	if endpoint == nil || document == nil {
		return
	}
	brief, ok := briefOf(document, endpoint.Service)
	if !ok {
		return
	}
	data, err := brief.Encode(g.config.FleetKey)
	if err != nil {
		g.deps.Logger.Warn("brief for an agent does not fit a datagram", "service", endpoint.Service, "error", err)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil && ctx.Err() == nil {
		g.deps.Logger.Warn("sending a brief failed", "agent", to, "error", err)
	}
}

// briefOf returns what an agent of a service needs of a document, and false for
// a service without engines.
func briefOf(document *directory.Document, name string) (loadreport.Brief, bool) {
	service := document.Services[name]
	if service == nil || service.Engine == nil {
		return loadreport.Brief{}, false
	}
	engine := service.Engine
	brief := loadreport.Brief{
		Document: document.Version,
		Service: loadreport.BriefService{
			Name: service.Name, Model: service.Model, Slots: engine.Slots, Layers: engine.Layers,
			Chunks: engine.Chunks, ChunkBytes: engine.ChunkBytes, ReadRate: engine.ReadRate,
		},
	}
	if origin := document.OriginOf(); origin != nil {
		brief.Origin = loadreport.BriefOrigin{Name: origin.Name, Address: origin.Origin, Domain: origin.OriginDomain}
	}
	return brief, true
}
