package swarm

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
)

// serverStallFactor is how many times StallTimeout a client may be silent.
const serverStallFactor = 3

// server serves chunks over TCP. gnet calls its On methods on one event loop;
// other methods may be called from anywhere.
type server struct {
	gnet.BuiltinEventEngine

	cfg     *Config
	deps    *Deps
	metrics *metrics

	booted   chan struct{}
	engine   gnet.Engine
	finished chan struct{}
	err      error // Set before finished is closed.

	mu       sync.Mutex
	conns    map[gnet.Conn]*serverConn
	servings map[core.Digest]*serving
	pinged   time.Time
	opened   uint64 // Connections so far.
	stopped  bool
	// pacer spreads chunks over time; nil for no pace.
	pacer     *sendPacer
	stopPacer context.CancelFunc
}

func newServer(cfg *Config, deps *Deps, m *metrics) *server {
	s := &server{
		cfg:      cfg,
		deps:     deps,
		metrics:  m,
		booted:   make(chan struct{}),
		finished: make(chan struct{}),
		conns:    make(map[gnet.Conn]*serverConn),
		servings: make(map[core.Digest]*serving),
	}
	if cfg.SendBytes > 0 {
		s.pacer = newSendPacer(&s.mu, s.sendRate)
	}
	return s
}

// sendRate is the bound of what is sent now: less while requests run beside.
func (s *server) sendRate() float64 {
	if running, _ := s.deps.RequestLoad(); running > 0 {
		return s.cfg.SendBytes * s.cfg.BusySendShare
	}
	return s.cfg.SendBytes
}

// start listens and returns once the event loop runs.
func (s *server) start() error {
	if s.pacer != nil {
		ctx, cancel := context.WithCancel(context.Background())
		s.stopPacer = cancel
		go s.pacer.run(ctx)
	}
	go func() {
		defer close(s.finished)
		s.err = gnet.Run(s, "tcp://"+s.cfg.Self.ChunkAddr,
			gnet.WithNumEventLoop(1),
			gnet.WithTicker(true),
			gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(&gnetLogger{logger: s.deps.Logger}),
		)
	}()
	select {
	case <-s.booted:
		return nil
	case <-s.finished:
		return eris.Wrapf(s.err, "listening for chunk connections on %s", s.cfg.Self.ChunkAddr)
	}
}

// stop closes the listener and all connections. It blocks until they are
// closed or ctx ends.
func (s *server) stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	if s.stopPacer != nil {
		s.stopPacer()
	}
	// Stop polls slowly for the end, which finished tells at once.
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_ = s.engine.Stop(ended)
	select {
	case <-s.finished:
		return eris.Wrap(s.err, "stopping the chunk server")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// OnBoot implements gnet.EventHandler.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.cfg.MaxConns {
		s.metrics.rejected.Inc(1)
		return nil, gnet.Close
	}
	s.opened++
	c := &serverConn{
		number:  s.opened,
		conn:    conn,
		nonce:   newNonce(),
		pacer:   s.pacer,
		opened:  time.Now(),
		running: make(map[uint32]struct{}),
		waiting: make(map[uint32]time.Time),
	}
	s.conns[conn] = c
	conn.SetContext(c)
	s.send(c, challengeFrame(c.nonce))
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[conn]
	delete(s.conns, conn)
	if c == nil || c.serving == nil {
		return gnet.None
	}
	delete(c.serving.conns, c)
	if c.serving.uploads != nil {
		c.serving.uploads.Done(len(c.running))
	}
	s.forgetUnused()
	return gnet.None
}

// OnTick implements gnet.EventHandler.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	ping := now.Sub(s.pinged) >= s.cfg.PingInterval
	if ping {
		s.pinged = now
	}
	for _, c := range s.conns {
		s.tickConn(c, now, ping)
	}
	return s.cfg.PingInterval / 2, gnet.None
}

func (s *server) tickConn(c *serverConn, now time.Time, ping bool) {
	if c.serving == nil {
		if now.Sub(c.opened) > s.cfg.HandshakeTimeout {
			s.metrics.rejected.Inc(1)
			_ = c.conn.Close()
		}
		return
	}
	if now.Sub(c.lastRead) > serverStallFactor*s.cfg.StallTimeout {
		s.metrics.stalled.Inc(1)
		_ = c.conn.Close()
		return
	}
	for index, deadline := range c.waiting {
		if now.After(deadline) {
			delete(c.waiting, index)
			s.refuseMissing(c, index)
		}
	}
	if ping {
		s.send(c, pingFrame())
	}
}

// add makes a set available to peers. Connections that asked for the manifest
// before get its bitmap.
func (s *server) add(set *weights.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.serving(set.Digest())
	if v.set != nil {
		return
	}
	v.set = set
	v.uploads = weights.NewUploadAdmission(s.cfg.Uploads, set.Len())
	for c := range v.conns {
		s.announceAll(c)
	}
}

// drop closes the connections of a manifest and forgets its set.
func (s *server) drop(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servings[d]
	if v == nil {
		return
	}
	delete(s.servings, d)
	for c := range v.conns {
		_ = c.conn.Close()
	}
}

// stored answers waiting requests for a new chunk and announces it. first says
// that the chunk came from outside the region.
func (s *server) stored(d core.Digest, index int, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servings[d]
	if v == nil || v.set == nil {
		return
	}
	if first {
		v.uploads.MarkImported(index)
	}
	for c := range v.conns {
		if _, ok := c.waiting[uint32(index)]; ok {
			delete(c.waiting, uint32(index))
			s.serve(c, uint32(index), weights.UploadRegion)
		}
	}
	s.announce(v, index)
}

// serving returns the state of a manifest, made if needed.
func (s *server) serving(d core.Digest) *serving {
	v := s.servings[d]
	if v == nil {
		v = newServing()
		s.servings[d] = v
	}
	return v
}

// forgetUnused removes manifests that the node never got and nobody asks for.
func (s *server) forgetUnused() {
	for d, v := range s.servings {
		if v.set == nil && len(v.conns) == 0 {
			delete(s.servings, d)
		}
	}
}
