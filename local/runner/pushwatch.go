package runner

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/wait"
)

const servingInterval = 10 * time.Millisecond

// pushWatch follows one push until the engines serve its version.
type pushWatch struct {
	fleet     *fleetRun
	model     core.ModelRef
	size      int64
	confirmed time.Time
	before    fakes.LinkTotals
	half      time.Duration
	all       time.Duration
}

// watchPush starts to follow a push that was just confirmed.
func watchPush(f *fleetRun, w fakes.Weights, size int64) *pushWatch {
	return &pushWatch{
		fleet:     f,
		model:     w.Ref,
		size:      size,
		confirmed: time.Now(),
		before:    f.platform.links.Totals(),
	}
}

// run blocks until every engine in service has the version, or ctx ends.
func (p *pushWatch) run(ctx context.Context) {
	for p.all == 0 {
		done, total := p.done()
		since := time.Since(p.confirmed)
		if p.half == 0 && 2*done >= total {
			p.half = since
		}
		if done == total {
			p.all = since
			return
		}
		if !wait.For(ctx, servingInterval) {
			return
		}
	}
}

// done counts the engines in service with the version, and all of them.
func (p *pushWatch) done() (done, total int) {
	models := p.fleet.liveModels()
	for _, n := range models {
		if n.engine.Serving() == p.model {
			done++
		}
	}
	return done, len(models)
}

// fill writes the push into the report.
func (p *pushWatch) fill(into *report.Weights) {
	into.ReplicasDone, into.Replicas = p.done()
	into.TimeToHalfS = p.half.Seconds()
	into.TimeToAllS = p.all.Seconds()
	into.IdealS = p.ideal().Seconds()
	if p.all > 0 {
		into.RatioToIdeal = p.all.Seconds() / p.ideal().Seconds()
	}
	into.OriginCopies = p.copies(p.fleet.platform.origin.Bytes()[p.model.Manifest])
	now := p.fleet.platform.links.Totals()
	for pair, bytes := range now.Regions {
		into.RegionLinkCopiesMax = max(into.RegionLinkCopiesMax, p.copies(bytes.Weights-p.before.Regions[pair].Weights))
	}
	for _, n := range p.fleet.everyModel() {
		id := n.instance.ID
		received := now.In[id].Weights - p.before.In[id].Weights
		sent := now.Out[id].Weights - p.before.Out[id].Weights
		into.InstanceLinkCopiesMax = max(into.InstanceLinkCopiesMax, p.copies(received), p.copies(sent))
	}
}

func (p *pushWatch) copies(bytes uint64) float64 {
	return float64(bytes) / float64(p.size)
}

// ideal is the size over the slowest link that a copy must cross, and the
// time of loading.
func (p *pushWatch) ideal() time.Duration {
	s := p.fleet.scenario
	slowest := min(s.Links.InstanceMbps, s.Links.OriginMbps)
	if min(s.Fleet.Regions, s.Fleet.ModelReplicas) > 1 {
		slowest = min(slowest, s.Links.RegionMbps)
	}
	seconds := float64(p.size) * bitsPerByte / (float64(slowest) * bitsPerMegabit)
	return time.Duration(seconds*float64(time.Second)) + s.Engines.LoadTime
}

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)
