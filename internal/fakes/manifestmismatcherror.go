package fakes

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

// ManifestMismatchError reports an encoded manifest whose digest is not that of
// the order's model.
type ManifestMismatchError struct {
	Want core.Digest
	Got  core.Digest
}

// Error implements error.
func (e *ManifestMismatchError) Error() string {
	return fmt.Sprintf("manifest has digest %s, want %s", e.Got, e.Want)
}
