package fleet_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

func validDocument() *fleet.Document {
	return &fleet.Document{
		Generation: 3,
		Organisations: []fleet.Organisation{
			{ID: "school", TokenDigests: []string{fleet.TokenDigest("s").String()}},
			{ID: "post", TokenDigests: []string{fleet.TokenDigest("p").String()}, Weight: 2},
		},
		RankRules: []fleet.RankRule{
			{Organisation: "post", Rank: core.RankBackground},
			{Kind: "draft", Rank: core.RankUrgent},
			{Organisation: "school", Kind: "audit", Rank: core.RankBackground},
		},
		Ranks: []fleet.RankPolicy{{Rank: core.RankUrgent, GuaranteedShare: 0.5, PatienceMS: 300}},
		Services: []fleet.Service{{Name: "counter", Operations: []fleet.Operation{
			{Name: "balance", Idempotent: true},
		}}},
		Placements: []fleet.Placement{{Model: core.ModelRef{Model: "m", Version: "1", Manifest: core.SumDigest(nil)}}},
		Stops:      []fleet.Stop{{Instances: []core.InstanceID{"a"}}},
	}
}

func TestCompiledDocumentLookups(t *testing.T) {
	compiled := fleet.CompileDocument(validDocument())
	o, ok := compiled.Organisation(fleet.TokenDigest("s"))
	assert.Assert(t, ok)
	assert.Equal(t, o.ID, core.OrganisationID("school"))
	assert.Equal(t, o.Weight, 1.0)
	_, ok = compiled.Organisation(fleet.TokenDigest("x"))
	assert.Assert(t, !ok)
	assert.Equal(t, compiled.Rank("post", "draft"), core.RankBackground)
	assert.Equal(t, compiled.Rank("school", "draft"), core.RankUrgent)
	assert.Equal(t, compiled.Rank("school", "audit"), core.RankBackground)
	assert.Equal(t, compiled.Rank("school", ""), core.RankNormal)
	assert.Equal(t, compiled.RankPolicy(core.RankUrgent).PatienceMS, int64(300))
	assert.Equal(t, compiled.RankPolicy(core.RankNormal).PatienceMS, int64(fleet.DefaultPatienceMS))
	operation, ok := compiled.Operation("counter", "balance")
	assert.Assert(t, ok && operation.Idempotent)
}

func TestValidateNamesInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*fleet.Document){
		"organisations[1].id":               func(d *fleet.Document) { d.Organisations[1].ID = "school" },
		"organisations[1].token_digests[0]": func(d *fleet.Document) { d.Organisations[1].TokenDigests[0] = "12" },
		"organisations[0].weight":           func(d *fleet.Document) { d.Organisations[0].Weight = -1 },
		"rank_rules[0].organisation":        func(d *fleet.Document) { d.RankRules[0].Organisation = "x" },
		"rank_rules[1].rank":                func(d *fleet.Document) { d.RankRules[1].Rank = 9 },
		"ranks[0].guaranteed_share":         func(d *fleet.Document) { d.Ranks[0].GuaranteedShare = 1.1 },
		"ranks[0].patience_ms":              func(d *fleet.Document) { d.Ranks[0].PatienceMS = -1 },
		"services[0].operations[0].name":    func(d *fleet.Document) { d.Services[0].Operations[0].Name = "" },
		"placements[0].model.manifest":      func(d *fleet.Document) { d.Placements[0].Model.Manifest = core.Digest{} },
		"placements[0].replicas":            func(d *fleet.Document) { d.Placements[0].Replicas = -1 },
		"stops[0].instances":                func(d *fleet.Document) { d.Stops[0].Instances = nil },
		"stops[0].stream_grace_ms":          func(d *fleet.Document) { d.Stops[0].StreamGraceMS = -1 },
		"history[0]":                        func(d *fleet.Document) { d.History = []fleet.HistoryEntry{{Generation: 4}} },
	} {
		d := validDocument()
		assert.NilError(t, d.Validate())
		invalidate(d)
		var invalid *fleet.DocumentError
		assert.Assert(t, errors.As(d.Validate(), &invalid), field)
		assert.Equal(t, invalid.Field, field)
	}
}

func TestDocumentCodec(t *testing.T) {
	data, err := validDocument().Encode()
	assert.NilError(t, err)
	d, err := fleet.DecodeDocument(data)
	assert.NilError(t, err)
	assert.Equal(t, d.Digest(), validDocument().Digest())
	assert.Equal(t, d.Clone().Digest(), d.Digest())
	var decodeErr *fleet.DecodeError
	for _, input := range []string{"", "{", string(data) + "{}", `{"generation":-1}`} {
		_, err := fleet.DecodeDocument([]byte(input))
		assert.Assert(t, errors.As(err, &decodeErr), "%q: %v", input, err)
	}
	var sizeErr *fleet.DocumentSizeError
	_, err = fleet.DecodeDocument([]byte(strings.Repeat(" ", fleet.MaxDocumentBytes+1)))
	assert.Assert(t, errors.As(err, &sizeErr))
}

func TestApplyIgnoresOlderGenerations(t *testing.T) {
	h := fleet.NewDocumentHolder()
	changed := h.Changed()
	assert.Equal(t, h.Apply(&fleet.Document{Generation: 5}), fleet.Applied)
	<-changed
	assert.Equal(t, h.Apply(&fleet.Document{Generation: 4}), fleet.Ignored)
	assert.Equal(t, h.Apply(&fleet.Document{Generation: 5}), fleet.Ignored)
	assert.Equal(t, h.Apply(&fleet.Document{Generation: 5, Plan: "other"}), fleet.Conflicting)
	assert.Equal(t, h.Generation(), core.Generation(5))
	assert.Equal(t, h.Current().Plan, "")
}

func BenchmarkPolicyRank(b *testing.B) {
	compiled := fleet.CompileDocument(validDocument())
	b.ReportAllocs()
	for b.Loop() {
		compiled.Rank("school", "draft")
	}
}
