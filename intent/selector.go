package intent

import (
	"fmt"
	"strings"

	"github.com/snipestep/snipestep/core"
)

// Selector names a set of endpoints by where they are. Empty fields match
// everything. It cannot name a single instance.
type Selector struct {
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Rack          string `json:"rack,omitempty"`
	// Role is core.RoleModel or core.RolePlain. Empty means both, and
	// core.RoleModel when Count is set.
	Role core.InstanceRole `json:"role,omitempty"`
	// Count limits the selection, spread over failure domains. 0 selects all.
	Count int `json:"count,omitempty"`
}

// everywhere reports whether the selector names no place and no number.
func (s Selector) everywhere() bool {
	return s.Region == "" && s.FailureDomain == "" && s.Rack == "" && s.Count == 0
}

// Matches reports whether an instance is in the selected place and role.
func (s Selector) Matches(i core.Instance) bool {
	return matches(s.Region, i.Location.Region) &&
		matches(s.FailureDomain, i.Location.FailureDomain) &&
		matches(s.Rack, i.Location.Rack) &&
		matches(string(s.role()), string(i.Role))
}

// String returns the selector for people, e.g. "region=dar count=2".
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
	if s.Count < 0 || s.Count > maxCount {
		return invalid("selector.count", "%d is outside 0 to %d", s.Count, maxCount)
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
