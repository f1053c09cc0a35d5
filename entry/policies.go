package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/routing"
)

// rankPolicies returns the service of every rank.
func rankPolicies(p *fleet.Policy) routing.Policies {
	var out routing.Policies
	for _, rank := range core.Ranks {
		r := p.RankPolicy(rank)
		out[rank] = routing.Policy{
			GuaranteedShare: r.GuaranteedShare,
			Patience:        time.Duration(r.PatienceMS) * time.Millisecond,
		}
	}
	return out
}
