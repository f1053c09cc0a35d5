package directory

import (
	"maps"
	"slices"
	"strings"
)

// View is an immutable snapshot of the deployment.
type View struct {
	// Document is nil until the first one is known.
	Document         *Document
	Endpoints        map[string]*Endpoint
	DeclaredVersions map[string]DeclaredVersion
	// Evacuated holds the evacuated failure domains.
	Evacuated map[string]Evacuation
	// ColdRecords holds what the records of endpoints say about their coldness, by ID.
	ColdRecords map[string]ColdRecord
	// StoreUp is set if the store answered the last call.
	StoreUp bool
	// latest computes LatestEndpoints once for the views of a Directory; nil for others.
	latest func() []*Endpoint
}

// DeclaredVersion returns the declared version of a model, FirstVersion if none was
// declared.
func (v *View) DeclaredVersion(model string) DeclaredVersion {
	if d, ok := v.DeclaredVersions[model]; ok {
		return d
	}
	return DeclaredVersion{Declaration: Declaration{Version: FirstVersion}}
}

// LatestEndpoints returns the latest incarnation at each address, sorted by ID: after
// a power failure the endpoint list holds old and new incarnations for some seconds.
// The caller must not modify the result.
func (v *View) LatestEndpoints() []*Endpoint {
	if v.latest != nil {
		return v.latest()
	}
	return latestEndpoints(v.Endpoints)
}

func latestEndpoints(endpoints map[string]*Endpoint) []*Endpoint {
	newest := make(map[string]*Endpoint, len(endpoints))
	for _, e := range endpoints {
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
