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
	// Stamp is for the receiver's ClockExchange.
	Stamp     ClockStamp
	modelHash uint64
	ages      VersionAges
}

// VersionAge is a declared version and the bounds on the time since its declaration, in
// milliseconds up to 49 days.
type VersionAge struct {
	Version uint64
	// Min is the time since the first process is known to have read the version. It is
	// rounded down.
	Min time.Duration
	// Max is the time since the version is known not to have been declared, rounded up;
	// UnknownDuration without such a time.
	Max time.Duration
}

const (
	// versionAgesHeaderBytes is the length of the part before the ages: kind, hash of
	// the model's name, clock stamp.
	versionAgesHeaderBytes = 1 + 8 + clockStampBytes
	// versionAgeBytes is the length of an encoded VersionAge: version, Min, Max.
	versionAgeBytes = 4 + 4 + 4
	// maxVersionAges is the most versions that a datagram holds.
	maxVersionAges = 1 + directory.MaxSuperseded
	// maxMilliseconds is the longest encoded age or delay; an age of unknownMilliseconds
	// is unknown.
	maxMilliseconds     = 1<<32 - 2
	unknownMilliseconds = 1<<32 - 1
)

// VersionAgesAt returns the declarations that decide which versions requests may
// start on: the current one, and older ones up to the first that is older than the
// version bound. It returns none for a version that needs no declaration.
func VersionAgesAt(now time.Time, declared directory.DeclaredVersion, bound time.Duration) VersionAges {
	if declared.NotAfter.IsZero() {
		return nil
	}
	var ages VersionAges
	for _, declaration := range declared.Declarations() {
		age := VersionAge{Version: declaration.Version, Min: now.Sub(declaration.NotAfter), Max: UnknownDuration}
		if !declaration.NotBefore.IsZero() {
			age.Max = now.Sub(declaration.NotBefore)
		}
		ages = append(ages, age)
		if age.Min >= bound {
			break
		}
	}
	return ages
}

// Pending reports whether the current version is within the version bound, so that
// the ages of older ones matter.
func (v VersionAges) Pending(bound time.Duration) bool {
	return len(v) > 0 && v[0].Min < bound
}

// Ages returns the ages, and false if they are those of another model.
func (d VersionAgesDatagram) Ages(model string) (VersionAges, bool) {
	if d.modelHash != xxhash.Sum64String(model) {
		return nil, false
	}
	return d.ages, true
}

// youngerTolerance is how much younger reported ages may be by the delays of datagrams.
const youngerTolerance = 500 * time.Millisecond

// Younger reports whether their sender takes a version for younger than the receiver,
// which knows a declared version, does. Then the receiver should send its ages, also of
// versions that are no longer pending.
func (v VersionAges) Younger(now time.Time, declared directory.DeclaredVersion) bool {
	for _, age := range v {
		for _, known := range declared.Declarations() {
			if age.Version == known.Version && now.Add(-age.Min).After(known.NotAfter.Add(youngerTolerance)) {
				return true
			}
		}
	}
	return false
}

// MergeInto merges the declarations of a datagram that arrived now into a directory.
// sentNotBefore is the earliest time at which it can have been sent, zero if unknown: a
// delay on the way would make a version look younger than it can be.
func (v VersionAges) MergeInto(d *directory.Directory, now, sentNotBefore time.Time, model string) {
	for _, age := range v {
		declaration := directory.Declaration{Version: age.Version, NotAfter: now.Add(-age.Min)}
		if age.Max >= 0 && !sentNotBefore.IsZero() {
			declaration.NotBefore = sentNotBefore.Add(-age.Max)
		}
		d.MergeDeclaration(model, declaration)
	}
}

// IsVersionAges reports whether a datagram is a VersionAges.
func IsVersionAges(b []byte) bool {
	return len(b) > 0 && b[0] == kindVersionAges
}

// Encode returns the ages of a model's versions as a datagram.
func (v VersionAges) Encode(model string, stamp ClockStamp) []byte {
	v = v[:min(len(v), maxVersionAges)]
	b := append(make([]byte, 0, versionAgesHeaderBytes+len(v)*versionAgeBytes), kindVersionAges)
	b = stamp.append(binary.BigEndian.AppendUint64(b, xxhash.Sum64String(model)))
	for _, age := range v {
		b = binary.BigEndian.AppendUint32(b, uint32(age.Version))
		b = binary.BigEndian.AppendUint32(b, uint32(min(max(age.Min, 0).Milliseconds(), maxMilliseconds)))
		b = binary.BigEndian.AppendUint32(b, encodeMaxAge(age.Max))
	}
	return b
}

// encodeMaxAge encodes an upper bound of an age, rounded up. One beyond the range is
// unknown.
func encodeMaxAge(age time.Duration) uint32 {
	milliseconds := (age + time.Millisecond - 1).Milliseconds()
	if age < 0 || milliseconds > maxMilliseconds {
		return unknownMilliseconds
	}
	return uint32(milliseconds)
}

func decodeMaxAge(milliseconds uint32) time.Duration {
	if milliseconds == unknownMilliseconds {
		return UnknownDuration
	}
	return time.Duration(milliseconds) * time.Millisecond
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
			Version: uint64(binary.BigEndian.Uint32(rest)),
			Min:     time.Duration(binary.BigEndian.Uint32(rest[4:])) * time.Millisecond,
			Max:     decodeMaxAge(binary.BigEndian.Uint32(rest[8:])),
		})
	}
	return VersionAgesDatagram{Stamp: decodeClockStamp(b[versionAgesHeaderBytes-clockStampBytes:]), modelHash: binary.BigEndian.Uint64(b[1:]), ages: ages}, nil
}
