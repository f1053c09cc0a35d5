package directory

import lru "github.com/hashicorp/golang-lru/v2"

// maxDrainedIncarnations bounds the incarnations that are remembered: several times the
// endpoints of a large deployment.
const maxDrainedIncarnations = 4096

// drainedIncarnations remembers which incarnations of endpoints were draining. None of
// them becomes ready again: a record that says so is older than the one before it, from
// a store that was restored or from pages that are no snapshot.
type drainedIncarnations struct {
	// leaving says of each whether one of its responses said so, as Endpoint.Leaving.
	leaving *lru.Cache[incarnation, bool]
}

// incarnation identifies one start of an endpoint.
type incarnation struct {
	endpointID    string
	startedUnixMS int64
}

func newDrainedIncarnations() *drainedIncarnations {
	// It fails only for a size below one.
	cache, _ := lru.New[incarnation, bool](maxDrainedIncarnations)
	return &drainedIncarnations{leaving: cache}
}

// add remembers that an incarnation is draining.
func (d *drainedIncarnations) add(i incarnation, leaving bool) {
	known, _ := d.leaving.Get(i)
	d.leaving.Add(i, known || leaving)
}

// apply returns the endpoint of a record, draining if its incarnation was. Incarnations
// with unknown start times are not told apart.
func (d *drainedIncarnations) apply(e *Endpoint) *Endpoint {
	if e.StartedUnixMS == 0 {
		return e
	}
	i := incarnation{endpointID: e.ID, startedUnixMS: e.StartedUnixMS}
	if e.Draining {
		d.add(i, e.Leaving)
	}
	leaving, drained := d.leaving.Get(i)
	if !drained {
		return e
	}
	draining := *e
	draining.Draining = true
	draining.Leaving = leaving
	return &draining
}
