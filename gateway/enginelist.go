package gateway

import (
	"context"
	"net"
	"net/netip"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// encodedEngineList is the engine list of a service in one view.
type encodedEngineList struct {
	view      *directory.View
	datagrams [][]byte
	digest    uint64
}

// isInOwnRegion reports whether the endpoint beside an agent is in the entry's region.
func (g *Gateway) isInOwnRegion(agent netip.Addr) bool {
	endpoint := (*g.endpointByAgent.Load())[agent.Unmap()]
	return endpoint != nil && endpoint.Region == g.config.Region
}

// sendEngineList sends the engines of an agent's service to it, unless it has the current list.
// If a datagram is lost, the agent's next report triggers another transmission.
func (g *Gateway) sendEngineList(ctx context.Context, conn *net.UDPConn, to netip.AddrPort, known uint64) {
	endpoint := (*g.endpointByAgent.Load())[to.Addr().Unmap()]
	if endpoint == nil {
		return
	}
	list, err := g.engineList(g.deps.Directory.View(), endpoint.Service)
	if err != nil {
		g.deps.Logger.Warn("engine list does not fit its datagrams", "service", endpoint.Service, "error", err)
		return
	}
	if list.digest == known {
		return
	}
	for _, datagram := range list.datagrams {
		if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil && ctx.Err() == nil {
			g.deps.Logger.Warn("sending an engine list failed", "agent", to, "error", err)
			return
		}
	}
}

// engineList returns the engine list of a service, encoded once for each view.
func (g *Gateway) engineList(view *directory.View, service string) (encodedEngineList, error) {
	if list := g.engineLists[service]; list.view == view {
		return list, nil
	}
	engines := loadreport.EngineList{Service: service}
	for _, e := range view.LatestEndpoints() {
		if e.Service == service {
			engines.Engines = append(engines.Engines, loadreport.EngineEntry{
				ID: e.ID, Address: e.Address, FailureDomain: e.FailureDomain, Slots: e.Slots, Draining: e.Draining,
				LoadedVersion: e.LoadedVersion, StartedUnixMS: e.StartedUnixMS,
			})
		}
	}
	datagrams, digest, err := engines.Encode(g.config.FleetKey)
	if err != nil {
		return encodedEngineList{}, err
	}
	list := encodedEngineList{view: view, datagrams: datagrams, digest: digest}
	g.engineLists[service] = list
	return list, nil
}
