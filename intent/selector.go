package intent

import (
	"fmt"
	"strings"

	"github.com/snipestep/snipestep/core"
)

// Selector selects endpoints by location and role. Empty fields match everything.
// It cannot select an instance by its ID.
type Selector struct {
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Rack          string `json:"rack,omitempty"`
	// Role is core.RoleModel or core.RolePlain. Empty means both, and
	// core.RoleModel when Count is set.
	Role core.InstanceRole `json:"role,omitempty"`
	// Count limits the selection, which is spread over failure domains. 0 selects
	// all.
	Count int `json:"count,omitempty"`
}

// selectsAllLocations reports whether the selector is limited neither by location
// nor by Count.
func (s Selector) selectsAllLocations() bool {
	return s.Region == "" && s.FailureDomain == "" && s.Rack == "" && s.Count == 0
}

// Matches reports whether an instance has the selected location and role.
func (s Selector) Matches(i core.Instance) bool {
	return matches(s.Region, i.Location.Region) &&
		matches(s.FailureDomain, i.Location.FailureDomain) &&
		matches(s.Rack, i.Location.Rack) &&
		matches(string(s.role()), string(i.Role))
}

// String returns the selector in readable form, e.g. "region=dar count=2".
func (s Selector) String() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("region", s.Region)
	add("failure-domain", s.FailureDomain)
	add("rack", s.Rack)
	add("role", string(s.Role))
	if s.Count > 0 {
		parts = append(parts, fmt.Sprintf("count=%d", s.Count))
	}
	if len(parts) == 0 {
		return "all"
	}
	return strings.Join(parts, " ")
}

func (s Selector) role() core.InstanceRole {
	if s.Role == "" && s.Count > 0 {
		return core.RoleModel
	}
	return s.Role
}

func (s Selector) validate() error {
	if s.Count < 0 || s.Count > maxEndpointCount {
		return invalid("selector.count", "%d is outside 0 to %d", s.Count, maxEndpointCount)
	}
	switch s.Role {
	case "", core.RoleModel, core.RolePlain:
		return nil
	}
	return invalid("selector.role", "%q is neither %q nor %q", s.Role, core.RoleModel, core.RolePlain)
}

func matches(want, got string) bool {
	return want == "" || want == got
}
