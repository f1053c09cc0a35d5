package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
)

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
