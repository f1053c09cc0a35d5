package fleet

import "github.com/snipestep/snipestep/core"

// DefaultPatienceMS is the PatienceMS of a rank without a policy of its own.
const DefaultPatienceMS = 2000

const defaultWeight = 1

// CompiledDocument is a Document compiled for look-ups on the request path. It
// is immutable; its methods neither block nor allocate.
type CompiledDocument struct {
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

// CompileDocument compiles a valid document. A nil document counts as empty.
func CompileDocument(d *Document) *CompiledDocument {
	if d == nil {
		d = &Document{}
	}
	c := &CompiledDocument{generation: d.Generation}
	c.compileOrganisations(d.Organisations)
	c.compileRankRules(d.RankRules)
	c.compileRanks(d.Ranks)
	c.compileOperations(d.Services)
	c.compileModels(d.Placements)
	return c
}

// Generation returns the generation of the document.
func (c *CompiledDocument) Generation() core.Generation {
	return c.generation
}

// Organisation returns the organisation that owns the bearer token with the
// given TokenDigest. Its Weight is above 0.
func (c *CompiledDocument) Organisation(token core.Digest) (Organisation, bool) {
	o, ok := c.organisations[token]
	return o, ok
}

// Rank returns the rank of a call: that of the first matching rule, or
// core.RankNormal.
func (c *CompiledDocument) Rank(organisation core.OrganisationID, kind string) core.Rank {
	keys := [...]ruleKey{{organisation, kind}, {organisation, ""}, {"", kind}, {"", ""}}
	first := positionedRank{position: -1, rank: core.RankNormal}
	for _, key := range keys {
		rule, ok := c.rankRules[key]
		if ok && (first.position < 0 || rule.position < first.position) {
			first = rule
		}
	}
	return first.rank
}

// RankPolicy returns the policy of a rank; an invalid rank has the policy of
// core.RankBackground.
func (c *CompiledDocument) RankPolicy(rank core.Rank) RankPolicy {
	if !rank.Valid() {
		rank = core.RankBackground
	}
	return c.ranks[rank]
}

// Operation returns an operation of a plain service.
func (c *CompiledDocument) Operation(service, operation string) (Operation, bool) {
	o, ok := c.operations[operationKey{service, operation}]
	return o, ok
}

// Model returns the version that the first placement of a model names.
func (c *CompiledDocument) Model(name string) (core.ModelRef, bool) {
	m, ok := c.models[name]
	return m, ok
}

func (c *CompiledDocument) compileOrganisations(organisations []Organisation) {
	c.organisations = make(map[core.Digest]Organisation, len(organisations))
	for _, o := range organisations {
		if o.Weight <= 0 {
			o.Weight = defaultWeight
		}
		for _, text := range o.TokenDigests {
			if digest, err := core.ParseDigest(text); err == nil {
				c.organisations[digest] = o
			}
		}
	}
}

func (c *CompiledDocument) compileRankRules(rules []RankRule) {
	c.rankRules = make(map[ruleKey]positionedRank, len(rules))
	for i, r := range rules {
		key := ruleKey{r.Organisation, r.Kind}
		if _, ok := c.rankRules[key]; !ok {
			c.rankRules[key] = positionedRank{position: i, rank: r.Rank}
		}
	}
}

func (c *CompiledDocument) compileRanks(ranks []RankPolicy) {
	for _, r := range core.Ranks {
		c.ranks[r] = RankPolicy{Rank: r, PatienceMS: DefaultPatienceMS}
	}
	for _, r := range ranks {
		c.ranks[r.Rank] = r
	}
}

func (c *CompiledDocument) compileOperations(services []Service) {
	c.operations = make(map[operationKey]Operation)
	for _, s := range services {
		for _, o := range s.Operations {
			c.operations[operationKey{s.Name, o.Name}] = o
		}
	}
}

func (c *CompiledDocument) compileModels(placements []Placement) {
	c.models = make(map[string]core.ModelRef, len(placements))
	for _, placement := range placements {
		if _, ok := c.models[placement.Model.Model]; !ok {
			c.models[placement.Model.Model] = placement.Model
		}
	}
}
