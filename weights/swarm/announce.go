package swarm

import (
	"time"

	"github.com/snipestep/snipestep/weights"
)

// firstReceivers is the number of peers that hear of a new chunk at once.
// The others hear of it after Config.HaveDelay, when more peers hold it.
const firstReceivers = 2

// announce tells a few watching peers of a new chunk soon and the others
// later. The caller holds the mutex.
func (s *server) announce(v *serving, index int) {
	first := make(map[uint64]bool, firstReceivers)
	for _, number := range weights.SelectEarlyReceivers(v.watchers(), index, firstReceivers) {
		first[number] = true
	}
	for c := range v.conns {
		if !c.announced {
			continue
		}
		if first[c.number] {
			c.soon = append(c.soon, uint32(index))
		} else {
			c.later = append(c.later, uint32(index))
		}
	}
	if !v.soonTimer {
		v.soonTimer = true
		time.AfterFunc(s.cfg.HaveInterval, func() { s.flushSoon(v) })
	}
	if !v.laterTimer {
		v.laterTimer = true
		time.AfterFunc(s.cfg.HaveDelay, func() { s.flushLater(v) })
	}
}

func (s *server) flushSoon(v *serving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.soonTimer = false
	for c := range v.conns {
		s.sendHave(c, &c.soon)
	}
}

func (s *server) flushLater(v *serving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.laterTimer = false
	for c := range v.conns {
		s.sendHave(c, &c.later)
	}
}

func (s *server) sendHave(c *serverConn, indexes *[]uint32) {
	if s.stopped || len(*indexes) == 0 {
		return
	}
	s.send(c, haveFrame(nil, *indexes, c.serving.uploads.Served()))
	*indexes = nil
}

// announceAll sends the bitmap that precedes all announcements.
func (s *server) announceAll(c *serverConn) {
	if !c.watch || c.announced {
		return
	}
	c.announced = true
	s.send(c, haveFrame(c.serving.set.Bitmap(), nil, c.serving.uploads.Served()))
}
