package versiontest

import (
	"time"

	"github.com/snipestep/snipestep/directory"
)

// Declared returns a declaration whose time is known exactly.
func Declared(version uint64, at time.Time) directory.Declaration {
	return directory.Declaration{Version: version, NotBefore: at, NotAfter: at}
}
