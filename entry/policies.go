package entry

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/routing"
)

// rankPolicies returns the routing policy of every rank.
func rankPolicies(document *fleet.CompiledDocument) routing.Policies {
	var out routing.Policies
	for _, rank := range core.Ranks {
		out[rank] = routing.PolicyOf(document.RankPolicy(rank))
	}
	return out
}
