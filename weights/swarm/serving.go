package swarm

import (
	"github.com/snipestep/snipestep/weights"
)

// serving is one manifest on the server. set is nil until the node has the
// manifest.
type serving struct {
	set     *weights.Set
	uploads *weights.Uploads
	conns   map[*serverConn]struct{}
	// pending lists stored chunks that were not announced yet.
	pending []uint32
	// flushing says that a timer will announce pending.
	flushing bool
}

func newServing() *serving {
	return &serving{conns: make(map[*serverConn]struct{})}
}
