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
	// Since is the earliest known time at which a process learnt of the version,
	// on this process's monotonic clock.
	Since time.Time
	// Guessed marks DeclaredAt as an estimate: the version was declared before this
	// process started, and no other process has reported a time yet.
	Guessed bool
	// Previous is the version that was declared before, 0 for none.
	Previous uint64
	// PreviousSince is the corresponding time for the previous version.
	PreviousSince time.Time
}

// refinedBy reports whether the declaration time that another process reports
// replaces the known one.
func (d *Declared) refinedBy(declaredAt time.Time) bool {
	return d.Guessed || declaredAt.Before(d.Since.Add(-declaredAtTolerance))
}

// View is an immutable snapshot of the deployment.
type View struct {
	// Document is nil until the first one is known.
	Document         *Document
	Endpoints        map[string]*Endpoint
	DeclaredVersions map[string]Declared
	// StoreUp reports whether the store answered the last call.
	StoreUp bool
}

// VersionOf returns the declared version of a model, FirstVersion if none was
// declared.
func (v *View) VersionOf(model string) Declared {
	if d, ok := v.DeclaredVersions[model]; ok {
		return d
	}
	return Declared{Version: FirstVersion}
}

// Living returns the latest incarnation at each address, sorted by ID: after a
// power failure the endpoint list holds old and new incarnations for some
// seconds.
func (v *View) Living() []*Endpoint {
	newest := make(map[string]*Endpoint, len(v.Endpoints))
	for _, e := range v.Endpoints {
		if other := newest[e.Address]; other == nil || e.newerThan(other) {
			newest[e.Address] = e
		}
	}
	latest := slices.Collect(maps.Values(newest))
	slices.SortFunc(latest, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return latest
}

// FirstVersion is the version of a model's weights before any was declared; the
// platform numbers versions from 1.
const FirstVersion = 1
