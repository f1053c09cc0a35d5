package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

const (
	reportMin     = 50 * time.Millisecond
	reportPerPeer = 20 * time.Millisecond
	reportMax     = time.Second
	leaveRepeats  = 3
)

// reporter sends the agent's load to its entries. The time between two
// reports grows with the number of entries, so that the bytes a second stay
// bounded.
type reporter struct {
	plane       *wire.Plane
	entries     *entryTable
	sched       *scheduler
	state       *endpointState
	self        core.Instance
	incarnation uint64
	slots       int
	generation  func() core.Generation
	strikes     *strikeRelay
	now         clock

	sequence atomic.Uint64
	leaving  atomic.Bool
	draining atomic.Bool
	kick     chan struct{} // Signals a change that must be told at once.
}

// run reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for {
		sent := r.report()
		gap := min(reportMax, max(reportMin, time.Duration(sent)*reportPerPeer))
		if !r.pause(ctx, gap) {
			return
		}
	}
}

// pause waits for the gap between two reports, then for a change of load, at
// most reportMax in all. A kick ends the wait at once.
func (r *reporter) pause(ctx context.Context, gap time.Duration) bool {
	timer := time.NewTimer(gap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.kick:
		return true
	case <-timer.C:
	}
	timer.Reset(reportMax - gap)
	select {
	case <-ctx.Done():
		return false
	case <-r.kick:
	case <-r.sched.changed:
	case <-timer.C:
	}
	return true
}

// report sends one datagram to each live entry and returns their number.
func (r *reporter) report() int {
	addrs := r.entries.addresses(r.now())
	r.sched.creditPeers.Store(int32(max(1, len(addrs))))
	d := r.datagram()
	for _, addr := range addrs {
		_ = r.plane.Send(addr, d)
	}
	return len(addrs)
}

func (r *reporter) datagram() *wire.Datagram {
	return &wire.Datagram{
		Instance:    string(r.self.ID),
		Incarnation: r.incarnation,
		Sequence:    r.sequence.Add(1),
		Generation:  uint64(r.generation()),
		Leaving:     r.leaving.Load(),
		Load:        r.load(),
		Strikes:     r.strikes.next(r.now()),
	}
}

func (r *reporter) load() *wire.AgentLoad {
	load := r.sched.load.Load()
	credits := r.sched.credits.Load()
	out := &wire.AgentLoad{
		Slots:         uint32(r.slots),
		Serving:       wire.FromModelRef(r.state.serving()),
		Draining:      r.draining.Load(),
		MeanServiceMs: uint32(load.MeanService.Milliseconds()),
	}
	for rank := range core.RankCount {
		out.Running = append(out.Running, uint32(load.Running[rank]))
		out.Queued = append(out.Queued, uint32(load.Waiting[rank]))
		out.Credits = append(out.Credits, uint32(credits.byRank[rank]))
	}
	return out
}

// urge makes the next report go out at once.
func (r *reporter) urge() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// announceLeave tells every entry that the agent leaves, several times since
// datagrams get lost.
func (r *reporter) announceLeave() {
	r.leaving.Store(true)
	for range leaveRepeats {
		r.report()
	}
}
