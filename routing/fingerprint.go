package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
)

// PartFingerprint identifies a part of prompts for the engines of one service. It never
// returns 0.
func PartFingerprint(service, part string) uint64 {
	d := xxhash.New()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(part)
	return max(d.Sum64(), 1)
}

// Fingerprint identifies equal requests of one organisation. It never returns
// 0.
func Fingerprint(organisation core.OrganisationID, kind string, body []byte) uint64 {
	separator := []byte{0}
	d := xxhash.New()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(string(organisation))
	_, _ = d.Write(separator)
	_, _ = d.WriteString(kind)
	_, _ = d.Write(separator)
	_, _ = d.Write(body)
	return max(d.Sum64(), 1)
}
