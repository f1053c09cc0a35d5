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

// serverStallFactor is how long a client may be silent, in multiples of
// StallTimeout.
const serverStallFactor = 3

// server serves chunks over TCP. gnet calls its On methods on one event loop;
// other methods may be called from any goroutine.
type server struct {
	gnet.BuiltinEventEngine

	cfg     *Config
	deps    *Deps
	metrics *metrics

	booted   chan struct{}
	engine   gnet.Engine
	finished chan struct{}
	err      error // Set before finished is closed.

	mu            sync.Mutex
	conns         map[gnet.Conn]*serverConn
	manifests     map[core.Digest]*servedManifest
	lastPing      time.Time
	acceptedConns uint64
	stopped       bool
	// sendPacer paces the sent chunks; nil means no pacing.
	sendPacer     *sendPacer
	stopSendPacer context.CancelFunc
}

func newServer(cfg *Config, deps *Deps, m *metrics) *server {
	s := &server{
		cfg:       cfg,
		deps:      deps,
		metrics:   m,
		booted:    make(chan struct{}),
		finished:  make(chan struct{}),
		conns:     make(map[gnet.Conn]*serverConn),
		manifests: make(map[core.Digest]*servedManifest),
	}
	if cfg.SendBytesPerSecond > 0 {
		s.sendPacer = newSendPacer(&s.mu, s.sendRate)
	}
	return s
}

// sendRate returns the send rate limit in bytes per second, which is lower while
// the instance runs inference requests.
func (s *server) sendRate() float64 {
	if running, _ := s.deps.InferenceLoad(); running > 0 {
		return s.cfg.SendBytesPerSecond * s.cfg.BusySendShare
	}
	return s.cfg.SendBytesPerSecond
}

// start listens and returns once the event loop runs.
func (s *server) start() error {
	if s.sendPacer != nil {
		ctx, cancel := context.WithCancel(context.Background())
		s.stopSendPacer = cancel
		go s.sendPacer.run(ctx)
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
	if s.stopSendPacer != nil {
		s.stopSendPacer()
	}
	// engine.Stop polls at long intervals for the event loop to end, whereas
	// finished is closed at once. The cancelled context keeps Stop from waiting.
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_ = s.engine.Stop(cancelled)
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
	s.acceptedConns++
	c := &serverConn{
		id:              s.acceptedConns,
		conn:            conn,
		nonce:           newNonce(),
		sendPacer:       s.sendPacer,
		openedAt:        time.Now(),
		activeUploads:   make(map[uint32]struct{}),
		pendingRequests: make(map[uint32]time.Time),
	}
	s.conns[conn] = c
	conn.SetContext(c)
	s.sendControl(c, challengeFrame(c.nonce))
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[conn]
	delete(s.conns, conn)
	if c == nil || c.manifest == nil {
		return gnet.None
	}
	delete(c.manifest.conns, c)
	if c.manifest.uploads != nil {
		c.manifest.uploads.Done(len(c.activeUploads))
	}
	s.removeUnusedManifests()
	return gnet.None
}

// OnTick implements gnet.EventHandler.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	ping := now.Sub(s.lastPing) >= s.cfg.PingInterval
	if ping {
		s.lastPing = now
	}
	for _, c := range s.conns {
		s.checkConn(c, now, ping)
	}
	return s.cfg.PingInterval / 2, gnet.None
}

func (s *server) checkConn(c *serverConn, now time.Time, ping bool) {
	if c.manifest == nil {
		if now.Sub(c.openedAt) > s.cfg.HandshakeTimeout {
			s.metrics.rejected.Inc(1)
			_ = c.conn.Close()
		}
		return
	}
	if now.Sub(c.lastFrameAt) > serverStallFactor*s.cfg.StallTimeout {
		s.metrics.stalled.Inc(1)
		_ = c.conn.Close()
		return
	}
	for index, deadline := range c.pendingRequests {
		if now.After(deadline) {
			delete(c.pendingRequests, index)
			s.refuseMissing(c, index)
		}
	}
	if ping {
		s.sendControl(c, pingFrame())
	}
}

// addSet makes a set available to peers. Open connections for the manifest
// receive its bitmap.
func (s *server) addSet(set *weights.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.manifest(set.Digest())
	if m.set != nil {
		return
	}
	m.set = set
	m.uploads = weights.NewUploadAdmission(s.cfg.Uploads, set.Len())
	for c := range m.conns {
		s.sendBitmap(c)
	}
}

// dropManifest closes the connections of a manifest and removes its state.
func (s *server) dropManifest(d core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.manifests[d]
	if m == nil {
		return
	}
	delete(s.manifests, d)
	for c := range m.conns {
		_ = c.conn.Close()
	}
}

// chunkStored answers the pending requests for a new chunk and announces it.
// fromOutside reports whether the chunk came from outside the region.
func (s *server) chunkStored(d core.Digest, index int, fromOutside bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.manifests[d]
	if m == nil || m.set == nil {
		return
	}
	if fromOutside {
		m.uploads.MarkImported(index)
	}
	for c := range m.conns {
		if _, ok := c.pendingRequests[uint32(index)]; ok {
			delete(c.pendingRequests, uint32(index))
			s.sendChunk(c, uint32(index), weights.UploadRegion)
		}
	}
	s.announceChunk(m, index)
}

// manifest returns the state of a manifest and creates it if needed.
func (s *server) manifest(d core.Digest) *servedManifest {
	m := s.manifests[d]
	if m == nil {
		m = newServedManifest()
		s.manifests[d] = m
	}
	return m
}

// removeUnusedManifests removes the manifests with neither a set nor a
// connection.
func (s *server) removeUnusedManifests() {
	for d, m := range s.manifests {
		if m.set == nil && len(m.conns) == 0 {
			delete(s.manifests, d)
		}
	}
}
