package fleet

import (
	"fmt"
	"math"

	"github.com/snipestep/snipestep/core"
)

// shareTolerance absorbs floating-point error in the sum of shares.
const shareTolerance = 1e-9

// Validate checks every value and cross-reference of the document. It returns
// *DocumentError for the first invalid value.
func (d *Document) Validate() error {
	checks := []func() error{
		d.validateOrganisations,
		d.validateRankRules,
		d.validateRanks,
		d.validateServices,
		d.validatePlacements,
		d.validateStops,
		d.validateHistory,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return &DocumentError{Field: field, Detail: fmt.Sprintf(format, args...)}
}

func validateName(field, name string) error {
	if name == "" {
		return invalid(field, "is empty")
	}
	if len(name) > maxNameBytes {
		return invalid(field, "has %d bytes, at most %d are allowed", len(name), maxNameBytes)
	}
	return nil
}

func (d *Document) validateOrganisations() error {
	if len(d.Organisations) > maxOrganisations {
		return invalid("organisations", "has %d entries, at most %d are allowed", len(d.Organisations), maxOrganisations)
	}
	seenIDs := make(map[core.OrganisationID]bool, len(d.Organisations))
	organisationByToken := make(map[core.Digest]core.OrganisationID, len(d.Organisations))
	for i, o := range d.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		if err := validateName(field+".id", string(o.ID)); err != nil {
			return err
		}
		if seenIDs[o.ID] {
			return invalid(field+".id", "%q stands twice", o.ID)
		}
		seenIDs[o.ID] = true
		if o.Weight < 0 || math.IsNaN(o.Weight) || math.IsInf(o.Weight, 0) {
			return invalid(field+".weight", "%v is not a finite positive number", o.Weight)
		}
		if err := validateTokens(field, o, organisationByToken); err != nil {
			return err
		}
	}
	return nil
}

func validateTokens(field string, o Organisation, organisationByToken map[core.Digest]core.OrganisationID) error {
	for i, text := range o.TokenDigests {
		itemField := fmt.Sprintf("%s.token_digests[%d]", field, i)
		digest, err := core.ParseDigest(text)
		if err != nil {
			return invalid(itemField, "%v", err)
		}
		if other, ok := organisationByToken[digest]; ok {
			return invalid(itemField, "belongs to organisation %q already", other)
		}
		organisationByToken[digest] = o.ID
	}
	return nil
}

func (d *Document) validateRankRules() error {
	known := make(map[core.OrganisationID]bool, len(d.Organisations))
	for _, o := range d.Organisations {
		known[o.ID] = true
	}
	for i, r := range d.RankRules {
		field := fmt.Sprintf("rank_rules[%d]", i)
		if !r.Rank.Valid() {
			return invalid(field+".rank", "%v does not exist", r.Rank)
		}
		if r.Organisation != "" && !known[r.Organisation] {
			return invalid(field+".organisation", "%q does not exist", r.Organisation)
		}
		if len(r.Kind) > maxNameBytes {
			return invalid(field+".kind", "has %d bytes, at most %d are allowed", len(r.Kind), maxNameBytes)
		}
	}
	return nil
}

func (d *Document) validateRanks() error {
	var seen [core.RankCount]bool
	var sum float64
	for i, p := range d.Ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		if !p.Rank.Valid() {
			return invalid(field+".rank", "%v does not exist", p.Rank)
		}
		if seen[p.Rank] {
			return invalid(field+".rank", "%q stands twice", p.Rank)
		}
		seen[p.Rank] = true
		if !(p.GuaranteedShare >= 0 && p.GuaranteedShare <= 1) {
			return invalid(field+".guaranteed_share", "%v is outside 0 to 1", p.GuaranteedShare)
		}
		if p.PatienceMS < 0 || p.PatienceMS > maxPatienceMS {
			return invalid(field+".patience_ms", "%d is outside 0 to %d", p.PatienceMS, maxPatienceMS)
		}
		sum += p.GuaranteedShare
	}
	if sum > 1+shareTolerance {
		return invalid("ranks", "guaranteed shares sum to %v, at most 1 is allowed", sum)
	}
	return nil
}

func (d *Document) validateServices() error {
	seenNames := make(map[string]bool, len(d.Services))
	for i, s := range d.Services {
		field := fmt.Sprintf("services[%d]", i)
		if err := validateName(field+".name", s.Name); err != nil {
			return err
		}
		if seenNames[s.Name] {
			return invalid(field+".name", "%q stands twice", s.Name)
		}
		seenNames[s.Name] = true
		if err := validateOperations(field, s.Operations); err != nil {
			return err
		}
	}
	return nil
}

func validateOperations(field string, operations []Operation) error {
	seenNames := make(map[string]bool, len(operations))
	for i, o := range operations {
		itemField := fmt.Sprintf("%s.operations[%d]", field, i)
		if err := validateName(itemField+".name", o.Name); err != nil {
			return err
		}
		if seenNames[o.Name] {
			return invalid(itemField+".name", "%q stands twice", o.Name)
		}
		seenNames[o.Name] = true
		if !o.Rank.Valid() {
			return invalid(itemField+".rank", "%v does not exist", o.Rank)
		}
	}
	return nil
}

func (d *Document) validatePlacements() error {
	if len(d.Placements) > maxPlacements {
		return invalid("placements", "has %d entries, at most %d are allowed", len(d.Placements), maxPlacements)
	}
	for i, p := range d.Placements {
		field := fmt.Sprintf("placements[%d]", i)
		if err := p.validate(field); err != nil {
			return err
		}
	}
	return nil
}

func (p Placement) validate(field string) error {
	if err := validateName(field+".model.model", p.Model.Model); err != nil {
		return err
	}
	if err := validateName(field+".model.version", p.Model.Version); err != nil {
		return err
	}
	if p.Model.Manifest.IsZero() {
		return invalid(field+".model.manifest", "is empty")
	}
	if p.Replicas < 0 || p.Replicas > maxReplicas {
		return invalid(field+".replicas", "%d is outside 0 to %d", p.Replicas, maxReplicas)
	}
	seen := make(map[string]bool, len(p.Adapters))
	for i, a := range p.Adapters {
		itemField := fmt.Sprintf("%s.adapters[%d]", field, i)
		if err := validateName(itemField, a); err != nil {
			return err
		}
		if seen[a] {
			return invalid(itemField, "%q stands twice", a)
		}
		seen[a] = true
	}
	return nil
}

func (d *Document) validateStops() error {
	seen := make(map[core.InstanceID]bool)
	for i, s := range d.Stops {
		field := fmt.Sprintf("stops[%d]", i)
		if len(s.Instances) == 0 {
			return invalid(field+".instances", "is empty")
		}
		if s.StreamGraceMS < 0 || s.StreamGraceMS > maxStreamGraceMS {
			return invalid(field+".stream_grace_ms", "%d is outside 0 to %d", s.StreamGraceMS, maxStreamGraceMS)
		}
		for j, id := range s.Instances {
			itemField := fmt.Sprintf("%s.instances[%d]", field, j)
			if err := validateName(itemField, string(id)); err != nil {
				return err
			}
			if seen[id] {
				return invalid(itemField, "%q stands twice", id)
			}
			seen[id] = true
		}
	}
	return nil
}

func (d *Document) validateHistory() error {
	if len(d.History) > maxHistoryEntries {
		return invalid("history", "has %d entries, at most %d are allowed", len(d.History), maxHistoryEntries)
	}
	var previous core.Generation
	for i, entry := range d.History {
		if entry.Generation <= previous || entry.Generation > d.Generation {
			return invalid(fmt.Sprintf("history[%d]", i), "generation %d is out of order", entry.Generation)
		}
		previous = entry.Generation
	}
	return nil
}
