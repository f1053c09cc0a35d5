package agent

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

// entryLife is how long an entry counts as live after its last datagram.
const entryLife = 5 * time.Second

// entryTable holds the entries that send datagrams to this agent and the
// sessions they opened.
type entryTable struct {
	mu       sync.Mutex
	peers    map[core.InstanceID]entryPeer
	sessions map[core.InstanceID]*wire.Session
}

// entryPeer is one entry as its datagrams describe it.
type entryPeer struct {
	incarnation  uint64
	sequence     uint64
	datagramAddr string
	seen         time.Time
}

func newEntryTable() *entryTable {
	return &entryTable{
		peers:    make(map[core.InstanceID]entryPeer),
		sessions: make(map[core.InstanceID]*wire.Session),
	}
}

// heard takes a datagram of an entry. It returns false for an old one.
func (t *entryTable) heard(d *wire.Datagram, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := core.InstanceID(d.GetInstance())
	old, known := t.peers[id]
	if known && !newer(d, old) {
		return false
	}
	if d.GetLeaving() {
		delete(t.peers, id)
		return true
	}
	t.peers[id] = entryPeer{
		incarnation:  d.GetIncarnation(),
		sequence:     d.GetSequence(),
		datagramAddr: d.GetDatagramAddr(),
		seen:         now,
	}
	return true
}

func newer(d *wire.Datagram, old entryPeer) bool {
	if d.GetIncarnation() != old.incarnation {
		return d.GetIncarnation() > old.incarnation
	}
	return d.GetSequence() > old.sequence
}

// addresses returns the datagram addresses of the live entries and forgets
// the others.
func (t *entryTable) addresses(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := make([]string, 0, len(t.peers))
	for id, p := range t.peers {
		if now.Sub(p.seen) > entryLife {
			delete(t.peers, id)
			continue
		}
		live = append(live, p.datagramAddr)
	}
	return live
}

// opened keeps a session until it ends; a newer one of the same entry
// replaces it.
func (t *entryTable) opened(s *wire.Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessions[s.Peer] = s
}

// session returns an open session, that of the preferred entry if there is
// one, or ErrNoEntry.
func (t *entryTable) session(preferred core.InstanceID) (*wire.Session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[preferred]; s != nil && !s.Closed() {
		return s, nil
	}
	for id, s := range t.sessions {
		if !s.Closed() {
			return s, nil
		}
		delete(t.sessions, id)
	}
	return nil, ErrNoEntry
}
