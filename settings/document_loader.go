package settings

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

const (
	organisationSection = "organisation"
	rankSection         = "rank"
	kindSection         = "kind"
	operationSection    = "operation"
)

const (
	maxWeight   = 1000
	minPatience = 10 * time.Millisecond
	maxPatience = time.Hour
)

// shareTolerance is the rounding error allowed in the sum of guaranteed shares.
const shareTolerance = 1e-9

// documentLoader declares the sections of the initial document and holds their
// values.
type documentLoader struct {
	organisations []*organisationSettings
	ranks         []*rankSettings
	kinds         []*kindSettings
	operations    []*operationSettings
}

type organisationSettings struct {
	id           string
	tokenDigests []string
	weight       float64
	rank         core.Rank
	hasRank      bool
}

type rankSettings struct {
	name            string
	guaranteedShare float64
	patience        time.Duration
}

type kindSettings struct {
	name         string
	rank         core.Rank
	organisation core.OrganisationID
}

type operationSettings struct {
	path       string
	idempotent bool
	rank       core.Rank
}

func (l *documentLoader) sections() []Section {
	return []Section{
		{Name: organisationSection, Doc: "One organisation, by its identifier.", KeysFor: l.newOrganisationKeys},
		{Name: rankSection, Doc: "Service that a rank gets: urgent, normal or background.", KeysFor: l.newRankKeys},
		{Name: kindSection, Doc: "One kind of work, as callers name it. Rules that name an organisation count first.", KeysFor: l.newKindKeys},
		{Name: operationSection, Doc: "One operation of a plain service, as SERVICE/OPERATION.", KeysFor: l.newOperationKeys},
	}
}

func (l *documentLoader) newOrganisationKeys(name string) []Key {
	organisation := &organisationSettings{id: name}
	l.organisations = append(l.organisations, organisation)
	return []Key{
		{Name: "token_digests", Required: true, Value: Digests(&organisation.tokenDigests), Doc: "Digests of the organisation's bearer tokens."},
		{Name: "weight", Default: "1", Value: Float(&organisation.weight, 1.0/maxWeight, maxWeight), Doc: "Share of the organisation within a rank, relative to the others."},
		{Name: "rank", Value: OptionalRank(&organisation.rank, &organisation.hasRank), Doc: "Rank of the organisation's calls whose kind has no rule; empty for normal."},
	}
}

func (l *documentLoader) newRankKeys(name string) []Key {
	rank := &rankSettings{name: name}
	l.ranks = append(l.ranks, rank)
	return []Key{
		{Name: "guaranteed_share", Required: true, Value: Ratio(&rank.guaranteedShare), Doc: "Part of each endpoint's slots kept for the rank. All shares sum to at most 1."},
		{Name: "patience", Required: true, Value: Duration(&rank.patience, minPatience, maxPatience), Doc: "How long a call of the rank may wait before it is refused."},
	}
}

func (l *documentLoader) newKindKeys(name string) []Key {
	kind := &kindSettings{name: name}
	l.kinds = append(l.kinds, kind)
	return []Key{
		{Name: "rank", Required: true, Value: Rank(&kind.rank), Doc: "Rank of the kind."},
		{Name: "organisation", Value: OptionalName(&kind.organisation), Doc: "Organisation that the rule is for; empty for all."},
	}
}

func (l *documentLoader) newOperationKeys(name string) []Key {
	operation := &operationSettings{path: name}
	l.operations = append(l.operations, operation)
	return []Key{
		{Name: "idempotent", Required: true, Value: Bool(&operation.idempotent), Doc: "Whether a call of the operation may run again."},
		{Name: "rank", Default: "normal", Value: Rank(&operation.rank), Doc: "Rank of the operation."},
	}
}

// build checks the sections against one another and returns the document, or
// *Error.
func (l *documentLoader) build(file *File) (*fleet.Document, error) {
	document := &fleet.Document{}
	steps := []func(*File, *fleet.Document) error{
		l.addOrganisations,
		l.addRanks,
		l.addKinds,
		l.addOperations,
	}
	for _, step := range steps {
		if err := step(file, document); err != nil {
			return nil, err
		}
	}
	return document, nil
}

func (l *documentLoader) addOrganisations(file *File, document *fleet.Document) error {
	ownerByDigest := map[string]string{}
	for _, o := range l.organisations {
		section := organisationSection + " " + o.id
		if !isName(o.id) {
			return file.ErrorAt(section, "", &FormatError{Text: o.id, Want: "a name"})
		}
		for _, digest := range o.tokenDigests {
			if owner, taken := ownerByDigest[digest]; taken {
				return file.ErrorAt(section, "token_digests", &ConflictError{Detail: fmt.Sprintf("token already belongs to organisation %q", owner)})
			}
			ownerByDigest[digest] = o.id
		}
		document.Organisations = append(document.Organisations, fleet.Organisation{
			ID:           core.OrganisationID(o.id),
			TokenDigests: o.tokenDigests,
			Weight:       o.weight,
		})
	}
	return nil
}

func (l *documentLoader) addRanks(file *File, document *fleet.Document) error {
	sum := 0.0
	for _, r := range l.ranks {
		section := rankSection + " " + r.name
		rank, err := core.ParseRank(r.name)
		if err != nil {
			return file.ErrorAt(section, "", err)
		}
		sum += r.guaranteedShare
		if sum > 1+shareTolerance {
			return file.ErrorAt(section, "guaranteed_share", &ConflictError{Detail: "guaranteed shares sum to more than 1"})
		}
		document.Ranks = append(document.Ranks, fleet.RankPolicy{
			Rank:            rank,
			GuaranteedShare: r.guaranteedShare,
			PatienceMS:      r.patience.Milliseconds(),
		})
	}
	sort.Slice(document.Ranks, func(i, j int) bool { return document.Ranks[i].Rank < document.Ranks[j].Rank })
	if len(document.Ranks) != core.RankCount {
		return file.ErrorAt(rankSection, "", &ConflictError{Detail: "want a section for each of urgent, normal and background"})
	}
	return nil
}

// addKinds adds the rank rules, ordered so that the most specific one matches
// first.
func (l *documentLoader) addKinds(file *File, document *fleet.Document) error {
	for _, k := range l.kinds {
		section := kindSection + " " + k.name
		if !isName(k.name) {
			return file.ErrorAt(section, "", &FormatError{Text: k.name, Want: "a name"})
		}
		if k.organisation != "" && !hasOrganisation(document, k.organisation) {
			return file.ErrorAt(section, "organisation", &ConflictError{Detail: fmt.Sprintf("organisation %q has no section", k.organisation)})
		}
		document.RankRules = append(document.RankRules, fleet.RankRule{Organisation: k.organisation, Kind: k.name, Rank: k.rank})
	}
	sort.SliceStable(document.RankRules, func(i, j int) bool {
		return document.RankRules[i].Organisation != "" && document.RankRules[j].Organisation == ""
	})
	for _, o := range l.organisations {
		if o.hasRank {
			document.RankRules = append(document.RankRules, fleet.RankRule{Organisation: core.OrganisationID(o.id), Rank: o.rank})
		}
	}
	document.RankRules = append(document.RankRules, fleet.RankRule{Rank: core.RankNormal})
	return nil
}

func (l *documentLoader) addOperations(file *File, document *fleet.Document) error {
	indexByName := map[string]int{}
	for _, o := range l.operations {
		service, operation, _ := strings.Cut(o.path, "/")
		if !isName(service) || !isName(operation) {
			return file.ErrorAt(operationSection+" "+o.path, "", &FormatError{Text: o.path, Want: "SERVICE/OPERATION"})
		}
		index, ok := indexByName[service]
		if !ok {
			index = len(document.Services)
			indexByName[service] = index
			document.Services = append(document.Services, fleet.Service{Name: service})
		}
		document.Services[index].Operations = append(document.Services[index].Operations, fleet.Operation{
			Name:       operation,
			Idempotent: o.idempotent,
			Rank:       o.rank,
		})
	}
	return nil
}

func hasOrganisation(document *fleet.Document, id core.OrganisationID) bool {
	for _, o := range document.Organisations {
		if o.ID == id {
			return true
		}
	}
	return false
}
