package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

const (
	minReportInterval      = 50 * time.Millisecond
	reportIntervalPerEntry = 20 * time.Millisecond
	maxReportInterval      = time.Second
	leaveReports           = 3
)

// reporter sends the agent's load to its entries. The interval between reports
// grows with the number of entries, so that the bytes per second stay bounded.
type reporter struct {
	datagrams   *wire.DatagramTransport
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
	trigger  chan struct{} // Signals that the next report is due at once.
}

// run reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for {
		sent := r.report()
		interval := min(maxReportInterval, max(minReportInterval, time.Duration(sent)*reportIntervalPerEntry))
		if !r.waitForNext(ctx, interval) {
			return
		}
	}
}

// waitForNext waits for the interval between two reports and then for a change
// of load, at most maxReportInterval in all. A trigger ends the wait at once. It
// returns false when ctx ends.
func (r *reporter) waitForNext(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.trigger:
		return true
	case <-timer.C:
	}
	timer.Reset(maxReportInterval - interval)
	select {
	case <-ctx.Done():
		return false
	case <-r.trigger:
	case <-r.sched.loadChanged:
	case <-timer.C:
	}
	return true
}

// report sends one datagram to each live entry and returns their number.
func (r *reporter) report() int {
	addrs := r.entries.liveDatagramAddrs(r.now())
	r.sched.entryCount.Store(int32(max(1, len(addrs))))
	d := r.datagram()
	for _, addr := range addrs {
		_ = r.datagrams.Send(addr, d)
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
		Strikes:     r.strikes.takeForReport(r.now()),
	}
}

func (r *reporter) load() *wire.AgentLoad {
	load := r.sched.load.Load()
	credits := r.sched.credits.Load()
	agentLoad := &wire.AgentLoad{
		Slots:         uint32(r.slots),
		Serving:       wire.ModelRefToProto(r.state.serving()),
		Draining:      r.draining.Load(),
		MeanServiceMs: uint32(load.MeanServiceTime.Milliseconds()),
	}
	for rank := range core.RankCount {
		agentLoad.Running = append(agentLoad.Running, uint32(load.Running[rank]))
		agentLoad.Queued = append(agentLoad.Queued, uint32(load.Waiting[rank]))
		agentLoad.Credits = append(agentLoad.Credits, uint32(credits.byRank[rank]))
	}
	return agentLoad
}

// triggerReport makes the reporter send the next report at once.
func (r *reporter) triggerReport() {
	select {
	case r.trigger <- struct{}{}:
	default:
	}
}

// announceLeave tells every entry that the agent leaves. It sends several
// reports because datagrams get lost.
func (r *reporter) announceLeave() {
	r.leaving.Store(true)
	for range leaveReports {
		r.report()
	}
}
