package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/wire"
)

const (
	heartbeatInterval = time.Second
	leavingBroadcasts = 3 // More than one, since datagrams may be lost.
)

// heartbeatSender sends this entry's heartbeats to the agents of its subset: at
// each interval, when the configuration changes and on request.
type heartbeatSender struct {
	cfg           Config
	transport     *wire.DatagramTransport
	routes        *routes
	documents     *fleet.DocumentHolder
	recentStrikes func() []*wire.Strike
	// sendRequested requests heartbeats without delay; capacity 1.
	sendRequested chan struct{}
	sequence      atomic.Uint64
	leaving       atomic.Bool
	notified      map[core.InstanceID]bool // Owned by run.
}

// run sends heartbeats until ctx ends. Agents that are new in the subset get one
// at the next membership tick, whose interval is shorter than heartbeatInterval.
func (s *heartbeatSender) run(ctx context.Context) {
	tick := time.NewTicker(membershipTickInterval)
	defer tick.Stop()
	var lastSent time.Time
	for {
		changed := s.documents.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			lastSent = s.sendHeartbeats()
		case <-s.sendRequested:
			lastSent = s.sendHeartbeats()
		case now := <-tick.C:
			if now.Sub(lastSent) >= heartbeatInterval || s.hasNewAgents() {
				lastSent = s.sendHeartbeats()
			}
		}
	}
}

func (s *heartbeatSender) hasNewAgents() bool {
	for _, agent := range *s.routes.subset.Load() {
		if !s.notified[agent.ID] {
			return true
		}
	}
	return false
}

// sendHeartbeats sends a heartbeat to each agent of the subset and records the
// recipients. Only run calls it.
func (s *heartbeatSender) sendHeartbeats() time.Time {
	s.notified = s.broadcast()
	return time.Now()
}

// broadcast sends a heartbeat to each agent of the subset and returns the
// agents to which it was sent.
func (s *heartbeatSender) broadcast() map[core.InstanceID]bool {
	agents := *s.routes.subset.Load()
	d := s.datagram()
	sent := make(map[core.InstanceID]bool, len(agents))
	for _, agent := range agents {
		if err := s.transport.Send(agent.DatagramAddr, d); err == nil {
			sent[agent.ID] = true
		}
	}
	return sent
}

func (s *heartbeatSender) datagram() *wire.Datagram {
	return &wire.Datagram{
		Instance:     string(s.cfg.Instance.ID),
		Incarnation:  s.cfg.Incarnation,
		Sequence:     s.sequence.Add(1),
		Generation:   uint64(s.documents.Generation()),
		Leaving:      s.leaving.Load(),
		Strikes:      s.recentStrikes(),
		SessionAddr:  s.cfg.Instance.SessionAddr,
		DatagramAddr: s.cfg.Instance.DatagramAddr,
	}
}

// requestSend requests heartbeats without delay.
func (s *heartbeatSender) requestSend() {
	select {
	case s.sendRequested <- struct{}{}:
	default:
	}
}
