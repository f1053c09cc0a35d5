package gateway

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
)

// residency holds the regions to which a request may be sent.
type residency struct {
	host, path, key string
	// atArrival is the limit of the document that was in force when the request arrived, nil for
	// none.
	atArrival *core.RegionSet
	// document is the one for which allowed was computed last.
	document *directory.Document
	// allowed are the regions that both that document and the one at the arrival allow.
	allowed *core.RegionSet
}

// newResidency returns the limit of the document that is in force when a request arrives.
func newResidency(document *directory.Document, route *directory.Route, host, path, key string) residency {
	allowed := directory.RegionsFor(route, document.OrganisationByKey[key])
	return residency{host: host, path: path, key: key, atArrival: allowed, document: document, allowed: allowed}
}

// update adds the limit of the document in force. One that no longer has the route or the
// organisation of the request sets none for it, and those at the arrival bind alone.
func (r *residency) update(document *directory.Document) {
	if document == nil || document == r.document {
		return
	}
	r.document = document
	present := directory.RegionsFor(document.Match(r.host, r.path), document.OrganisationByKey[r.key])
	r.allowed = r.atArrival.Intersect(present)
}
