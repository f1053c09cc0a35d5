package directory

import (
	"net"
	"slices"
	"strings"
)

// Document is one version of the operator's configuration document. It is
// immutable once it is part of a View.
type Document struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// RequiresKeys is set if callers need a key on routes that are not public.
	RequiresKeys bool
	// OrganisationByKey maps each caller key to its organisation.
	OrganisationByKey map[string]*Organisation

	routesByHost map[string][]*Route // Longest prefix first.
}

// SetRoutes replaces the routes. It must be called before the document is
// shared.
func (d *Document) SetRoutes(routes []*Route) {
	d.routesByHost = make(map[string][]*Route)
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		d.routesByHost[host] = append(d.routesByHost[host], r)
	}
	for _, hostRoutes := range d.routesByHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. A port in host is ignored.
func (d *Document) Match(host, path string) *Route {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	for _, r := range d.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OriginService returns the first service by name that is an origin of weights, or
// nil.
func (d *Document) OriginService() *Service {
	var first *Service
	for _, s := range d.Services {
		if s.OriginAddress != "" && (first == nil || s.Name < first.Name) {
			first = s
		}
	}
	return first
}
