package fleet

import "github.com/snipestep/snipestep/core"

// DefaultPatienceMS is the PatienceMS of a rank without a policy of its own.
const DefaultPatienceMS = 2000

const defaultWeight = 1

// Policy is a Document compiled for look-ups on the request path. It is
// immutable; its methods neither block nor allocate.
type Policy struct {
	generation    core.Generation
	organisations map[core.Digest]Organisation
	rankRules     map[ruleKey]positionedRank
	ranks         [core.RankCount]RankPolicy
	operations    map[operationKey]Operation
	models        map[string]core.ModelRef
}

type ruleKey struct {
	organisation core.OrganisationID
	kind         string
}

type positionedRank struct {
	position int
	rank     core.Rank
}

type operationKey struct {
	service, operation string
}

// TokenDigest returns the digest under which a bearer token is configured.
func TokenDigest(token string) core.Digest {
	return core.SumDigest([]byte(token))
}

// NewPolicy compiles a valid document. A nil document counts as empty.
func NewPolicy(d *Document) *Policy {
	if d == nil {
		d = &Document{}
	}
	p := &Policy{generation: d.Generation}
	p.compileOrganisations(d.Organisations)
	p.compileRankRules(d.RankRules)
	p.compileRanks(d.Ranks)
	p.compileOperations(d.Services)
	p.compileModels(d.Placements)
	return p
}

// Generation returns the generation of the document.
func (p *Policy) Generation() core.Generation {
	return p.generation
}

// Organisation returns the organisation that owns the bearer token with the
// given TokenDigest. Its Weight is above 0.
func (p *Policy) Organisation(token core.Digest) (Organisation, bool) {
	o, ok := p.organisations[token]
	return o, ok
}

// Rank returns the rank of a call: that of the first matching rule, or
// core.RankNormal.
func (p *Policy) Rank(organisation core.OrganisationID, kind string) core.Rank {
	keys := [...]ruleKey{{organisation, kind}, {organisation, ""}, {"", kind}, {"", ""}}
	first := positionedRank{position: -1, rank: core.RankNormal}
	for _, key := range keys {
		rule, ok := p.rankRules[key]
		if ok && (first.position < 0 || rule.position < first.position) {
			first = rule
		}
	}
	return first.rank
}

// RankPolicy returns the policy of a rank; an invalid rank has the policy of
// core.RankBackground.
func (p *Policy) RankPolicy(rank core.Rank) RankPolicy {
	if !rank.Valid() {
		rank = core.RankBackground
	}
	return p.ranks[rank]
}

// Operation returns an operation of a plain service.
func (p *Policy) Operation(service, operation string) (Operation, bool) {
	o, ok := p.operations[operationKey{service, operation}]
	return o, ok
}

// Model returns the version that the first placement of a model names.
func (p *Policy) Model(name string) (core.ModelRef, bool) {
	m, ok := p.models[name]
	return m, ok
}

func (p *Policy) compileOrganisations(organisations []Organisation) {
	p.organisations = make(map[core.Digest]Organisation, len(organisations))
	for _, o := range organisations {
		if o.Weight <= 0 {
			o.Weight = defaultWeight
		}
		for _, text := range o.TokenDigests {
			if digest, err := core.ParseDigest(text); err == nil {
				p.organisations[digest] = o
			}
		}
	}
}

func (p *Policy) compileRankRules(rules []RankRule) {
	p.rankRules = make(map[ruleKey]positionedRank, len(rules))
	for i, r := range rules {
		key := ruleKey{r.Organisation, r.Kind}
		if _, ok := p.rankRules[key]; !ok {
			p.rankRules[key] = positionedRank{position: i, rank: r.Rank}
		}
	}
}

func (p *Policy) compileRanks(ranks []RankPolicy) {
	for _, r := range core.Ranks {
		p.ranks[r] = RankPolicy{Rank: r, PatienceMS: DefaultPatienceMS}
	}
	for _, r := range ranks {
		p.ranks[r.Rank] = r
	}
}

func (p *Policy) compileOperations(services []Service) {
	p.operations = make(map[operationKey]Operation)
	for _, s := range services {
		for _, o := range s.Operations {
			p.operations[operationKey{s.Name, o.Name}] = o
		}
	}
}

func (p *Policy) compileModels(placements []Placement) {
	p.models = make(map[string]core.ModelRef, len(placements))
	for _, placement := range placements {
		if _, ok := p.models[placement.Model.Model]; !ok {
			p.models[placement.Model.Model] = placement.Model
		}
	}
}
