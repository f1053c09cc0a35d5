package swarm

import (
	"github.com/snipestep/snipestep/weights"
)

// servedManifest is the server's state of one manifest. set and uploads are nil
// until the node adds the manifest's set.
type servedManifest struct {
	set     *weights.Set
	uploads *weights.UploadAdmission
	conns   map[*serverConn]struct{}
	// earlyTimerSet and delayedTimerSet report that a timer to send announcements
	// is running.
	earlyTimerSet, delayedTimerSet bool
}

func newServedManifest() *servedManifest {
	return &servedManifest{conns: make(map[*serverConn]struct{})}
}

// watcherIDs returns the IDs of the connections that receive announcements.
func (m *servedManifest) watcherIDs() []uint64 {
	var ids []uint64
	for c := range m.conns {
		if c.bitmapSent {
			ids = append(ids, c.id)
		}
	}
	return ids
}
