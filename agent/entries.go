package agent

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

// entryTTL is how long an entry counts as live after its last datagram.
const entryTTL = 5 * time.Second

// entryTable holds the entries that send datagrams to this agent, and the
// sessions that entries opened.
type entryTable struct {
	mu       sync.Mutex
	entries  map[core.InstanceID]entryState
	sessions map[core.InstanceID]*wire.Session
}

// entryState is what the last datagram of an entry says about it.
type entryState struct {
	incarnation  uint64
	sequence     uint64
	datagramAddr string
	lastSeen     time.Time
}

func newEntryTable() *entryTable {
	return &entryTable{
		entries:  make(map[core.InstanceID]entryState),
		sessions: make(map[core.InstanceID]*wire.Session),
	}
}

// recordDatagram records the state of the entry that sent the datagram. It
// returns false for a datagram that is not newer than the last one.
func (t *entryTable) recordDatagram(d *wire.Datagram, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := core.InstanceID(d.GetInstance())
	previous, known := t.entries[id]
	if known && !isNewer(d, previous) {
		return false
	}
	if d.GetLeaving() {
		delete(t.entries, id)
		return true
	}
	t.entries[id] = entryState{
		incarnation:  d.GetIncarnation(),
		sequence:     d.GetSequence(),
		datagramAddr: d.GetDatagramAddr(),
		lastSeen:     now,
	}
	return true
}

func isNewer(d *wire.Datagram, previous entryState) bool {
	if d.GetIncarnation() != previous.incarnation {
		return d.GetIncarnation() > previous.incarnation
	}
	return d.GetSequence() > previous.sequence
}

// liveDatagramAddrs returns the datagram addresses of the live entries and
// removes the others.
func (t *entryTable) liveDatagramAddrs(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	addrs := make([]string, 0, len(t.entries))
	for id, entry := range t.entries {
		if now.Sub(entry.lastSeen) > entryTTL {
			delete(t.entries, id)
			continue
		}
		addrs = append(addrs, entry.datagramAddr)
	}
	return addrs
}

// addSession keeps a session until it ends or a newer one of the same entry
// replaces it.
func (t *entryTable) addSession(s *wire.Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessions[s.Peer] = s
}

// session returns an open session, preferably of the preferred entry, or
// ErrNoEntry.
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
