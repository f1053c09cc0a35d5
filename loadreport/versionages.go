package loadreport

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/directory"
)

// VersionAgesInterval is how often a process sends VersionAges to a peer while a
// version is pending.
const VersionAgesInterval = time.Second

// VersionAges holds the declared versions of a model, newest first. Agents send it to
// entries and entries to agents, so that the ages outlive the restart of either side.
// A build that does not know this datagram logs it as malformed and drops it.
type VersionAges []VersionAge

// VersionAgesDatagram is a decoded datagram of VersionAges. It names the model, as the
// address of an endpoint may have passed to another service unnoticed.
type VersionAgesDatagram struct {
	modelHash uint64
	ages      VersionAges
}

// VersionAge is a declared version and the time since its declaration, in steps of
// 100 ms up to 6,553 s.
type VersionAge struct {
	Version uint64
	Age     time.Duration
	// Certainty says how far Age is known.
	Certainty directory.Certainty
}

const (
	// versionAgesHeaderBytes is the length of the part before the ages: kind, hash of
	// the model's name.
	versionAgesHeaderBytes = 1 + 8
	// versionAgeBytes is the length of an encoded VersionAge: version, age, certainty.
	versionAgeBytes = 4 + 2 + 1
	// maxVersionAges is the most versions that a datagram holds.
	maxVersionAges = 1 + directory.MaxSuperseded
	maxAgeUnits    = 1<<16 - 1
)

// VersionAgesAt returns the declarations that decide which versions requests may
// start on: the current one, and older ones up to the first that is older than the
// version bound. It returns none for a version that needs no declaration.
func VersionAgesAt(now time.Time, declared directory.DeclaredVersion, bound time.Duration) VersionAges {
	if declared.DeclaredAt.IsZero() {
		return nil
	}
	var ages VersionAges
	for _, declaration := range declared.Declarations() {
		age := now.Sub(declaration.DeclaredAt)
		ages = append(ages, VersionAge{Version: declaration.Version, Age: age, Certainty: declaration.Certainty})
		if age >= bound {
			break
		}
	}
	return ages
}

// Pending reports whether the current version is within the version bound, so that
// the ages of older ones matter.
func (v VersionAges) Pending(bound time.Duration) bool {
	return len(v) > 0 && v[0].Age < bound
}

// Ages returns the ages, and false if they are those of another model.
func (d VersionAgesDatagram) Ages(model string) (VersionAges, bool) {
	if d.modelHash != xxhash.Sum64String(model) {
		return nil, false
	}
	return d.ages, true
}

// MergeInto merges the declarations, received at now, into a directory.
func (v VersionAges) MergeInto(d *directory.Directory, now time.Time, model string) {
	for _, age := range v {
		d.MergeDeclaration(model, directory.Declaration{Version: age.Version, DeclaredAt: now.Add(-age.Age), Certainty: age.Certainty})
	}
}

// IsVersionAges reports whether a datagram is a VersionAges.
func IsVersionAges(b []byte) bool {
	return len(b) > 0 && b[0] == kindVersionAges
}

// Encode returns the ages of a model's versions as a datagram.
func (v VersionAges) Encode(model string) []byte {
	v = v[:min(len(v), maxVersionAges)]
	b := append(make([]byte, 0, versionAgesHeaderBytes+len(v)*versionAgeBytes), kindVersionAges)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64String(model))
	for _, age := range v {
		b = binary.BigEndian.AppendUint32(b, uint32(age.Version))
		b = binary.BigEndian.AppendUint16(b, encodeAge(age.Age))
		b = append(b, byte(age.Certainty))
	}
	return b
}

// encodeAge encodes an age in two bytes; a longer one than fits becomes the longest.
func encodeAge(age time.Duration) uint16 {
	return uint16(min(max(age, 0)/durationUnit, maxAgeUnits))
}

// DecodeVersionAges decodes a VersionAges. It returns *FormatError for any other
// datagram.
func DecodeVersionAges(b []byte) (VersionAgesDatagram, error) {
	if !IsVersionAges(b) || len(b) < versionAgesHeaderBytes {
		return VersionAgesDatagram{}, &FormatError{Bytes: len(b)}
	}
	rest := b[versionAgesHeaderBytes:]
	if len(rest)%versionAgeBytes != 0 || len(rest)/versionAgeBytes > maxVersionAges {
		return VersionAgesDatagram{}, &FormatError{Bytes: len(b)}
	}
	var ages VersionAges
	for ; len(rest) > 0; rest = rest[versionAgeBytes:] {
		ages = append(ages, VersionAge{
			Version:   uint64(binary.BigEndian.Uint32(rest)),
			Age:       time.Duration(binary.BigEndian.Uint16(rest[4:])) * durationUnit,
			Certainty: directory.Certainty(rest[6]),
		})
	}
	return VersionAgesDatagram{modelHash: binary.BigEndian.Uint64(b[1:]), ages: ages}, nil
}
