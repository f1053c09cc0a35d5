package directory

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// DeclaredVersion is the version of a model that the operator wants.
type DeclaredVersion struct {
	Version uint64
	// DeclaredAt is the earliest known time at which a process learnt of the
	// version, on this process's monotonic clock.
	DeclaredAt time.Time
	// Estimated marks DeclaredAt as an estimate: the version was declared before
	// this process started, and no other process has reported a time yet.
	Estimated bool
	// Previous is the version that was declared before Version, 0 for none.
	Previous uint64
	// PreviousDeclaredAt is the DeclaredAt of the previous version.
	PreviousDeclaredAt time.Time
}

// refinedBy reports whether the declaration time that another process reports
// replaces the known one.
func (d *DeclaredVersion) refinedBy(declaredAt time.Time) bool {
	return d.Estimated || declaredAt.Before(d.DeclaredAt.Add(-declaredAtTolerance))
}

// View is an immutable snapshot of the deployment.
type View struct {
	// Document is nil until the first one is known.
	Document         *Document
	Endpoints        map[string]*Endpoint
	DeclaredVersions map[string]DeclaredVersion
	// StoreUp is set if the store answered the last call.
	StoreUp bool
}

// DeclaredVersion returns the declared version of a model, FirstVersion if none was
// declared.
func (v *View) DeclaredVersion(model string) DeclaredVersion {
	if d, ok := v.DeclaredVersions[model]; ok {
		return d
	}
	return DeclaredVersion{Version: FirstVersion}
}

// LatestEndpoints returns the latest incarnation at each address, sorted by ID: after
// a power failure the endpoint list holds old and new incarnations for some seconds.
func (v *View) LatestEndpoints() []*Endpoint {
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
