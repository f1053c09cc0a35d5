package runner

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/scenario"
)

const (
	operatorToken    = "local-operator"
	balanceOperation = "balance"
)

// rankPolicies holds the guaranteed share and the patience of each rank.
var rankPolicies = []fleet.RankPolicy{
	{Rank: core.RankUrgent, GuaranteedShare: 0.5, PatienceMS: (600 * time.Millisecond).Milliseconds()},
	{Rank: core.RankNormal, GuaranteedShare: 0.25, PatienceMS: (10 * time.Second).Milliseconds()},
	{Rank: core.RankBackground, GuaranteedShare: 0.1, PatienceMS: (30 * time.Second).Milliseconds()},
}

// initialDocument returns the first configuration of a run.
func initialDocument(s *scenario.Scenario) *fleet.Document {
	document := &fleet.Document{
		Ranks: rankPolicies,
		Services: []fleet.Service{{Name: load.ServiceName, Operations: []fleet.Operation{
			{Name: load.PurchaseName, Rank: core.RankUrgent},
			{Name: balanceOperation, Idempotent: true, Rank: core.RankNormal},
		}}},
	}
	for _, caller := range s.Callers() {
		document.Organisations = append(document.Organisations, fleet.Organisation{
			ID:           caller.ID,
			TokenDigests: []string{fleet.TokenDigest(caller.Token).String()},
			Weight:       1,
		})
	}
	for _, rank := range core.Ranks {
		document.RankRules = append(document.RankRules, fleet.RankRule{Kind: load.Kind(rank), Rank: rank})
	}
	return document
}
