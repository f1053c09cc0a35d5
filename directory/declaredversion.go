package directory

import (
	"cmp"
	"slices"
	"time"
)

// MaxSuperseded bounds DeclaredVersion.Superseded. Versions are declared seconds
// apart at the fastest, and matter for one version bound. Beyond it the oldest
// declaration stays, so that the required version does not fall, and the one after it
// is dropped.
const MaxSuperseded = 15

// VersionSafetyMargin is how long before the end of the version bound entries stop to start
// requests on an older version: a request needs time to start, up to half a second where
// requests are queued at the engine.
const VersionSafetyMargin = 500 * time.Millisecond

// DeclaredVersion is the version of a model that the operator wants. It is
// immutable once it is part of a View.
type DeclaredVersion struct {
	Declaration
	// Superseded holds the known declarations of older versions, newest first: each
	// keeps the deadline by which requests may no longer start on versions before it.
	Superseded []Declaration
}

// Previous returns the newest known declaration before the current one. Without
// one it is FirstVersion, which needs no declaration, or zero for FirstVersion
// itself.
func (d DeclaredVersion) Previous() Declaration {
	switch {
	case len(d.Superseded) > 0:
		return d.Superseded[0]
	case d.Version > FirstVersion:
		return Declaration{Version: FirstVersion}
	default:
		return Declaration{}
	}
}

// Required returns the newest version that may have been declared bound ago, and
// FirstVersion if there is none: requests may no longer start on older ones.
func (d DeclaredVersion) Required(now time.Time, bound time.Duration) uint64 {
	for _, declaration := range d.Declarations() {
		if now.Sub(declaration.CountsFrom()) >= bound {
			return declaration.Version
		}
	}
	return FirstVersion
}

// FirstAfter returns the oldest known declaration of a version newer than the given
// one, or the current declaration.
func (d DeclaredVersion) FirstAfter(version uint64) Declaration {
	first := d.Declaration
	for _, declaration := range d.Superseded {
		if declaration.Version > version {
			first = declaration
		}
	}
	return first
}

// Declarations returns all known declarations, newest first.
func (d DeclaredVersion) Declarations() []Declaration {
	return slices.Concat([]Declaration{d.Declaration}, d.Superseded)
}

// find returns the known declaration of a version.
func (d DeclaredVersion) find(version uint64) (Declaration, bool) {
	if d.Version == version {
		return d.Declaration, true
	}
	for _, declaration := range d.Superseded {
		if declaration.Version == version {
			return declaration, true
		}
	}
	return Declaration{}, false
}

// improvedBy reports whether a reported declaration refines a known one, or is
// unknown and would be kept.
func (d DeclaredVersion) improvedBy(reported Declaration) bool {
	if known, found := d.find(reported.Version); found {
		return known.refinedBy(reported)
	}
	return len(d.Superseded) < MaxSuperseded || reported.Version > d.Superseded[MaxSuperseded-2].Version
}

// with returns d with a declaration added, or replacing that of the same version. At
// most MaxSuperseded older declarations are kept.
func (d DeclaredVersion) with(added Declaration) DeclaredVersion {
	all := slices.DeleteFunc(d.Declarations(), func(known Declaration) bool { return known.Version == added.Version })
	all = append(all, added)
	slices.SortFunc(all, func(a, b Declaration) int { return cmp.Compare(b.Version, a.Version) })
	superseded := all[1:]
	if len(superseded) > MaxSuperseded {
		superseded = slices.Delete(superseded, len(superseded)-2, len(superseded)-1)
	}
	return DeclaredVersion{Declaration: all[0], Superseded: superseded}
}
