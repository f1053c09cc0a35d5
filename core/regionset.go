package core

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// RegionSet is an immutable set of regions to which something is limited. nil sets no limit, and an
// empty one allows nothing.
type RegionSet struct {
	names []string // Sorted, without duplicates.
	key   uint64
}

// NewRegionSet returns the set of the named regions, nil without names.
func NewRegionSet(names []string) *RegionSet {
	if len(names) == 0 {
		return nil
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return newRegionSet(slices.Compact(sorted))
}

func newRegionSet(sorted []string) *RegionSet {
	hash := fnv.New64a()
	for _, name := range sorted {
		// The length keeps names apart that follow each other.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(name))))
		_, _ = hash.Write([]byte(name))
	}
	return &RegionSet{names: sorted, key: max(hash.Sum64(), 1)}
}

// Key returns a number that is the same for equal sets in all versions of a document, 0 for nil.
func (s *RegionSet) Key() uint64 {
	if s == nil {
		return 0
	}
	return s.key
}

// Contains reports whether a region is allowed.
func (s *RegionSet) Contains(region string) bool {
	return s == nil || slices.Contains(s.names, region)
}

// Names returns the names of the regions, sorted; nil for no limit.
func (s *RegionSet) Names() []string {
	if s == nil {
		return nil
	}
	return slices.Clone(s.names)
}

// Overlaps reports whether a region may be in both sets.
func (s *RegionSet) Overlaps(other *RegionSet) bool {
	if s == nil || other == nil {
		return true
	}
	return slices.ContainsFunc(s.names, other.Contains)
}

// Intersect returns the regions that both sets allow.
func (s *RegionSet) Intersect(other *RegionSet) *RegionSet {
	switch {
	case s == nil:
		return other
	case other == nil || s.key == other.key:
		return s
	}
	var common []string
	for _, name := range s.names {
		if other.Contains(name) {
			common = append(common, name)
		}
	}
	return newRegionSet(common)
}
