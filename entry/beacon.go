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
	beaconInterval = time.Second
	leaveRepeats   = 3
)

// beacon sends this entry's datagrams to its agents: at each interval and at
// once when the configuration changes.
type beacon struct {
	cfg     Config
	plane   *wire.DatagramTransport
	routes  *routes
	held    *fleet.DocumentHolder
	strikes func() []*wire.Strike
	// kick makes the next datagrams go out at once, holds at most one.
	kick     chan struct{}
	sequence atomic.Uint64
	leaving  atomic.Bool
	known    map[core.InstanceID]bool // Owned by the loop.
}

// run sends datagrams until ctx ends. New agents of the subset hear at the
// next tick of the shorter interval.
func (b *beacon) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var last time.Time
	for {
		changed := b.held.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			last = b.sendAll()
		case <-b.kick:
			last = b.sendAll()
		case now := <-tick.C:
			if now.Sub(last) >= beaconInterval || b.hasNew() {
				last = b.sendAll()
			}
		}
	}
}

func (b *beacon) hasNew() bool {
	for _, agent := range *b.routes.subset.Load() {
		if !b.known[agent.ID] {
			return true
		}
	}
	return false
}

// sendAll sends one datagram to each agent of the subset and notes which ones
// have heard. Only the loop calls it.
func (b *beacon) sendAll() time.Time {
	b.known = b.broadcast()
	return time.Now()
}

// broadcast sends one datagram to each agent of the subset and returns those
// it was sent to.
func (b *beacon) broadcast() map[core.InstanceID]bool {
	agents := *b.routes.subset.Load()
	d := b.datagram()
	sent := make(map[core.InstanceID]bool, len(agents))
	for _, agent := range agents {
		if err := b.plane.Send(agent.DatagramAddr, d); err == nil {
			sent[agent.ID] = true
		}
	}
	return sent
}

func (b *beacon) datagram() *wire.Datagram {
	return &wire.Datagram{
		Instance:     string(b.cfg.Instance.ID),
		Incarnation:  b.cfg.Incarnation,
		Sequence:     b.sequence.Add(1),
		Generation:   uint64(b.held.Generation()),
		Leaving:      b.leaving.Load(),
		Strikes:      b.strikes(),
		SessionAddr:  b.cfg.Instance.SessionAddr,
		DatagramAddr: b.cfg.Instance.DatagramAddr,
	}
}

// urge makes the next datagrams go out at once.
func (b *beacon) urge() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}
