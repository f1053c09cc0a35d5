package swarm

import (
	"github.com/snipestep/snipestep/weights"
)

// serving is one manifest on the server. set is nil until the node has the
// manifest.
type serving struct {
	set     *weights.Set
	uploads *weights.UploadAdmission
	conns   map[*serverConn]struct{}
	// soonTimer and laterTimer say that a timer will send announcements.
	soonTimer, laterTimer bool
}

func newServing() *serving {
	return &serving{conns: make(map[*serverConn]struct{})}
}

// watchers returns the numbers of the connections that get announcements.
func (v *serving) watchers() []uint64 {
	var numbers []uint64
	for c := range v.conns {
		if c.announced {
			numbers = append(numbers, c.number)
		}
	}
	return numbers
}
