package directory

import (
	"net"
	"slices"
	"strings"
)

// Document is one version of what the operator declared. It does not change
// once it is in a View.
type Document struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// HasKeys says that callers need a key on routes that are not public.
	HasKeys bool
	// Keys holds the organisation of each key.
	Keys map[string]*Organisation

	byHost map[string][]*Route // Longest prefix first.
}

// SetRoutes replaces the routes; it is called before the document is shared.
func (d *Document) SetRoutes(routes []*Route) {
	d.byHost = make(map[string][]*Route)
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, list := range d.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. A port behind the host is ignored.
func (d *Document) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range d.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OriginOf returns the first service that is an origin of weights, by name, or
// nil.
func (d *Document) OriginOf() *Service {
	var first *Service
	for _, s := range d.Services {
		if s.Origin != "" && (first == nil || s.Name < first.Name) {
			first = s
		}
	}
	return first
}
