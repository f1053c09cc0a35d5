package core

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a limit that is lost: only a list without names sets none.
func TestRegionSetWithoutNamesSetsNoLimit(t *testing.T) {
	none := NewRegionSet(nil)
	assert.Assert(t, none.Contains("a"))
	assert.Equal(t, none.Key(), uint64(0))
	assert.Equal(t, len(none.Names()), 0)
	empty := NewRegionSet([]string{"a"}).Intersect(NewRegionSet([]string{"b"}))
	assert.Assert(t, !empty.Contains("a") && !empty.Contains("b") && !empty.Contains(""))
	assert.Assert(t, empty.Key() != 0)
	assert.Assert(t, !empty.Overlaps(NewRegionSet([]string{"a"})))
	assert.Assert(t, !empty.Intersect(none).Contains("a"), "nothing stays nothing")
}

func TestRegionSetsIntersect(t *testing.T) {
	none, ab, bc := NewRegionSet(nil), NewRegionSet([]string{"b", "a", "b"}), NewRegionSet([]string{"b", "c"})
	for _, both := range []*RegionSet{ab.Intersect(bc), bc.Intersect(ab)} {
		assert.DeepEqual(t, both.Names(), []string{"b"})
		assert.Equal(t, both.Key(), NewRegionSet([]string{"b"}).Key())
	}
	assert.Equal(t, none.Intersect(ab), ab)
	assert.Equal(t, ab.Intersect(none), ab)
	assert.Assert(t, ab.Overlaps(bc) && none.Overlaps(ab) && ab.Overlaps(none))
	assert.Assert(t, !ab.Overlaps(NewRegionSet([]string{"c"})))
}

// Guards against two sets that are taken for one since their names join to the same text.
func TestRegionSetKeyKeepsNamesApart(t *testing.T) {
	assert.Equal(t, NewRegionSet([]string{"a", "b"}).Key(), NewRegionSet([]string{"b", "a", "a"}).Key())
	assert.Assert(t, NewRegionSet([]string{"a", "bc"}).Key() != NewRegionSet([]string{"ab", "c"}).Key())
	assert.Assert(t, NewRegionSet([]string{"a", "b"}).Key() != NewRegionSet([]string{"ab"}).Key())
}
