package swarm

import (
	"time"

	"github.com/snipestep/snipestep/weights"
)

// earlyReceivers is the number of peers notified of a new chunk after
// Config.HaveInterval. The others are notified after Config.HaveDelay, when
// more peers hold the chunk.
const earlyReceivers = 2

// announceChunk schedules the early and the delayed announcement of a new chunk
// to the watching peers. The caller holds the mutex.
func (s *server) announceChunk(m *servedManifest, index int) {
	early := make(map[uint64]bool, earlyReceivers)
	for _, id := range weights.SelectEarlyReceivers(m.watcherIDs(), index, earlyReceivers) {
		early[id] = true
	}
	for c := range m.conns {
		if !c.bitmapSent {
			continue
		}
		if early[c.id] {
			c.earlyIndexes = append(c.earlyIndexes, uint32(index))
		} else {
			c.delayedIndexes = append(c.delayedIndexes, uint32(index))
		}
	}
	if !m.earlyTimerSet {
		m.earlyTimerSet = true
		time.AfterFunc(s.cfg.HaveInterval, func() { s.sendEarlyAnnouncements(m) })
	}
	if !m.delayedTimerSet {
		m.delayedTimerSet = true
		time.AfterFunc(s.cfg.HaveDelay, func() { s.sendDelayedAnnouncements(m) })
	}
}

func (s *server) sendEarlyAnnouncements(m *servedManifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.earlyTimerSet = false
	for c := range m.conns {
		s.sendAnnouncement(c, &c.earlyIndexes)
	}
}

func (s *server) sendDelayedAnnouncements(m *servedManifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.delayedTimerSet = false
	for c := range m.conns {
		s.sendAnnouncement(c, &c.delayedIndexes)
	}
}

func (s *server) sendAnnouncement(c *serverConn, indexes *[]uint32) {
	if s.stopped || len(*indexes) == 0 {
		return
	}
	s.sendControl(c, haveFrame(nil, *indexes, c.manifest.uploads.Served()))
	*indexes = nil
}

// sendBitmap sends the bitmap of the stored chunks, once and before any
// announcement.
func (s *server) sendBitmap(c *serverConn) {
	if !c.watch || c.bitmapSent {
		return
	}
	c.bitmapSent = true
	s.sendControl(c, haveFrame(c.manifest.set.Bitmap(), nil, c.manifest.uploads.Served()))
}
