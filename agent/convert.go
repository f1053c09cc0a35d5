package agent

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

func callRank(req *wire.CallRequest) core.Rank {
	rank := core.Rank(req.GetRank())
	if !rank.Valid() {
		return core.RankBackground
	}
	return rank
}

func callOrganisation(req *wire.CallRequest) core.OrganisationID {
	return core.OrganisationID(req.GetOrganisation())
}
