package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

// Guards against control traffic that grows with entries times agents: while requests wait, each
// entry renewed its subscription to each agent ten times a second.
func TestRemoteAgentsAreSubscribedToLessOftenInLargeFleets(t *testing.T) {
	isNear := func(addr netip.Addr) bool { return addr.As4()[1] == 0 }
	agentsOf := func(near, remote int) (agents []netip.AddrPort) {
		for i := range near + remote {
			region := byte(1)
			if i < near {
				region = 0
			}
			agents = append(agents, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, region, 0, byte(i)}), 80))
		}
		return agents
	}
	start := time.Unix(1000, 0)
	sentIn := func(agents []netip.AddrPort) (sent int) {
		var pace subscriptionPace
		for i := range 100 {
			sent += len(pace.selectAgents(start.Add(time.Duration(i)*loadreport.BusySubscribeInterval), agents, isNear, 1))
		}
		return sent
	}
	assert.Equal(t, sentIn(agentsOf(28, 110)), 28*100+110*20, "the others every loadreport.SubscribeInterval")
	assert.Equal(t, sentIn(agentsOf(4, 7)), 11*100, "a small fleet is within the bound")

	var pace subscriptionPace
	agents := agentsOf(28, 110)
	assert.Equal(t, len(pace.selectAgents(start, agents, isNear, 1)), 138)
	assert.Equal(t, len(pace.selectAgents(start.Add(100*time.Millisecond), agents, isNear, 1)), 28)
	assert.Equal(t, len(pace.selectAgents(start.Add(200*time.Millisecond), agents, isNear, 0)), 138, "nothing waits any more")
	assert.Equal(t, len(pace.selectAgents(start.Add(300*time.Millisecond), agents[:137], isNear, 0)), 137, "the agents changed")
}
