package runner

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/wait"
)

const servingPollInterval = 10 * time.Millisecond

// pushWatch follows one push until the engines serve its version.
type pushWatch struct {
	fleet        *runningFleet
	model        core.ModelRef
	sizeBytes    int64
	confirmedAt  time.Time
	totalsBefore fakes.LinkTotals
	timeToHalf   time.Duration
	timeToAll    time.Duration
}

// newPushWatch returns a watch of a push that has just been confirmed.
func newPushWatch(f *runningFleet, w fakes.Weights, sizeBytes int64) *pushWatch {
	return &pushWatch{
		fleet:        f,
		model:        w.Ref,
		sizeBytes:    sizeBytes,
		confirmedAt:  time.Now(),
		totalsBefore: f.platform.links.Totals(),
	}
}

// run blocks until every engine in service has the version, or ctx ends.
func (p *pushWatch) run(ctx context.Context) {
	for p.timeToAll == 0 {
		serving, total := p.countServing()
		elapsed := time.Since(p.confirmedAt)
		if p.timeToHalf == 0 && 2*serving >= total {
			p.timeToHalf = elapsed
		}
		if serving == total {
			p.timeToAll = elapsed
			return
		}
		if !wait.For(ctx, servingPollInterval) {
			return
		}
	}
}

// countServing returns the numbers of engines in service that serve the version,
// and of all engines in service.
func (p *pushWatch) countServing() (serving, total int) {
	nodes := p.fleet.liveModelNodes()
	for _, n := range nodes {
		if n.engine.Serving() == p.model {
			serving++
		}
	}
	return serving, len(nodes)
}

// fill writes the measurements of the push into the report.
func (p *pushWatch) fill(into *report.Weights) {
	into.ReplicasDone, into.Replicas = p.countServing()
	into.TimeToHalfS = p.timeToHalf.Seconds()
	into.TimeToAllS = p.timeToAll.Seconds()
	into.IdealS = p.idealTime().Seconds()
	if p.timeToAll > 0 {
		into.RatioToIdeal = p.timeToAll.Seconds() / p.idealTime().Seconds()
	}
	into.OriginCopies = p.copies(p.fleet.platform.origin.SentBytes()[p.model.Manifest])
	totals := p.fleet.platform.links.Totals()
	for regions, bytes := range totals.RegionLinks {
		into.RegionLinkCopiesMax = max(into.RegionLinkCopiesMax, p.copies(bytes.Weights-p.totalsBefore.RegionLinks[regions].Weights))
	}
	for _, n := range p.fleet.allModelNodes() {
		id := n.instance.ID
		received := totals.Incoming[id].Weights - p.totalsBefore.Incoming[id].Weights
		sent := totals.Outgoing[id].Weights - p.totalsBefore.Outgoing[id].Weights
		into.InstanceLinkCopiesMax = max(into.InstanceLinkCopiesMax, p.copies(received), p.copies(sent))
	}
}

// copies returns a number of bytes as a multiple of the size of the weights.
func (p *pushWatch) copies(bytes uint64) float64 {
	return float64(bytes) / float64(p.sizeBytes)
}

// idealTime is the time to send the weights over the slowest link that a copy must
// cross, plus the time to load them.
func (p *pushWatch) idealTime() time.Duration {
	s := p.fleet.scenario
	slowest := min(s.Links.InstanceMbps, s.Links.OriginMbps)
	if min(s.Fleet.Regions, s.Fleet.ModelReplicas) > 1 {
		slowest = min(slowest, s.Links.RegionMbps)
	}
	seconds := float64(p.sizeBytes) * bitsPerByte / (float64(slowest) * bitsPerMegabit)
	return time.Duration(seconds*float64(time.Second)) + s.Engines.LoadDuration
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)
