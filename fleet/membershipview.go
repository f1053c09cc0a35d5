package fleet

import (
	"sort"

	"github.com/snipestep/snipestep/core"
)

// MembershipView is an immutable snapshot of a Membership.
type MembershipView struct {
	// Instances are sorted by ID.
	Instances []Member
}

// Find returns the member with the given ID.
func (v *MembershipView) Find(id core.InstanceID) (Member, bool) {
	i := sort.Search(len(v.Instances), func(i int) bool { return v.Instances[i].Instance.ID >= id })
	if i == len(v.Instances) || v.Instances[i].Instance.ID != id {
		return Member{}, false
	}
	return v.Instances[i], true
}

// Usable returns the listed instances with one of the roles that may get new
// work.
func (v *MembershipView) Usable(roles ...core.InstanceRole) []core.Instance {
	var out []core.Instance
	for _, m := range v.Instances {
		if m.Listed && m.Usable() && hasRole(roles, m.Instance.Role) {
			out = append(out, m.Instance)
		}
	}
	return out
}

func hasRole(roles []core.InstanceRole, role core.InstanceRole) bool {
	for _, r := range roles {
		if r == role {
			return true
		}
	}
	return false
}
