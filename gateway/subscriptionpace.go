package gateway

import (
	"net/netip"
	"time"

	"github.com/snipestep/snipestep/loadreport"
)

// subscriptionPace decides which agents get a subscription: those of the entry's region each
// time, the others as often as loadreport.MaxDatagramsPerSecond allows.
type subscriptionPace struct {
	remoteSentAt time.Time
	hadDemand    bool
	agentCount   int
}

// selectAgents returns the agents to subscribe to now. All agents learn at once that requests
// begin or cease to wait here, and those that are new that the entry exists.
func (p *subscriptionPace) selectAgents(now time.Time, agents []netip.AddrPort, isNear func(netip.Addr) bool, demand int) []netip.AddrPort {
	var near []netip.AddrPort
	for _, agent := range agents {
		if isNear(agent.Addr()) {
			near = append(near, agent)
		}
	}
	interval := loadreport.RemoteInterval(len(near), len(agents)-len(near), loadreport.BusySubscribeInterval, loadreport.SubscribeInterval)
	changed := p.hadDemand != (demand > 0) || p.agentCount != len(agents)
	p.hadDemand, p.agentCount = demand > 0, len(agents)
	if changed || now.Sub(p.remoteSentAt) >= interval-loadreport.BusySubscribeInterval/2 {
		p.remoteSentAt = now
		return agents
	}
	return near
}
