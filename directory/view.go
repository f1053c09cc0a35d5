package directory

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Declared is the version of a model that the operator wants.
type Declared struct {
	Version uint64
	// Since is when this process learnt of it, on its steady clock.
	Since time.Time
	// Guessed says that the version was there before the process was: Since
	// is then a guess until another process tells.
	Guessed bool
	// Previous is the version that was declared before, 0 for none.
	Previous uint64
	// PreviousSince is when this process learnt of the previous version.
	PreviousSince time.Time
}

// learns reports whether a version declared at since, as another process says,
// tells more than what is known.
func (d *Declared) learns(since time.Time) bool {
	return d.Guessed || since.Before(d.Since.Add(-learnSlack))
}

// View is what is believed at one moment. It does not change.
type View struct {
	// Document is nil until the first one is known.
	Document  *Document
	Endpoints map[string]*Endpoint
	Models    map[string]Declared
	// StoreUp says that the last call to the store was answered.
	StoreUp bool
}

// VersionOf returns the declared version of a model. The first version counts
// as declared until another one is.
func (v *View) VersionOf(model string) Declared {
	if d, ok := v.Models[model]; ok {
		return d
	}
	return Declared{Version: FirstVersion}
}

// Living returns the endpoints without those whose address belongs to a newer
// one: after a loss of power the list holds both for some seconds.
func (v *View) Living() []*Endpoint {
	newest := make(map[string]*Endpoint, len(v.Endpoints))
	for _, e := range v.Endpoints {
		if other := newest[e.Address]; other == nil || e.newerThan(other) {
			newest[e.Address] = e
		}
	}
	living := slices.Collect(maps.Values(newest))
	slices.SortFunc(living, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return living
}

// FirstVersion is the version of a model's weights before any was declared;
// the platform counts versions from 1.
const FirstVersion = 1
