package directory

import lru "github.com/hashicorp/golang-lru/v2"

// maxDrainedIncarnations bounds the incarnations that are remembered: several times the
// endpoints of a large deployment.
const maxDrainedIncarnations = 4096

// drainedIncarnations remembers which incarnations of endpoints were draining. None of
// them becomes ready again: a record that says so is older than the one before it, from
// a store that was restored or from pages that are no snapshot.
type drainedIncarnations struct {
	startedUnixMS *lru.Cache[string, int64] // By endpoint ID.
}

func newDrainedIncarnations() *drainedIncarnations {
	// It fails only for a size below one.
	cache, _ := lru.New[string, int64](maxDrainedIncarnations)
	return &drainedIncarnations{startedUnixMS: cache}
}

// apply returns the endpoint of a record, draining if its incarnation was. Incarnations
// with unknown start times are not told apart.
func (d *drainedIncarnations) apply(e *Endpoint) *Endpoint {
	if e.StartedUnixMS == 0 {
		return e
	}
	if e.Draining {
		d.startedUnixMS.Add(e.ID, e.StartedUnixMS)
		return e
	}
	if started, ok := d.startedUnixMS.Get(e.ID); !ok || started != e.StartedUnixMS {
		return e
	}
	draining := *e
	draining.Draining = true
	return &draining
}
