package swarm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/fstest"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/weights"
)

const (
	testChunkSize = 64 << 10
	testRegions   = 3
)

var testKey = []byte("fleet key")

// testModel is one model version with its contents.
type testModel struct {
	manifest *weights.Manifest
	reader   *weights.ChunkReader
}

func newTestModel(t testing.TB, version string, size, chunkSize int) testModel {
	t.Helper()
	data := make([]byte, size)
	rand.New(rand.NewSource(int64(len(version)))).Read(data)
	copy(data, version)
	files := fstest.MapFS{"model.safetensors": {Data: data}}
	m, err := weights.Build("m", version, files, chunkSize)
	assert.NilError(t, err)
	return testModel{manifest: m, reader: weights.NewChunkReader(files, m)}
}

// testSource simulates the origin or the store.
type testSource struct {
	models      []testModel
	calls       atomic.Int64
	servedBytes atomic.Int64
	chunkError  func(chunk int) error
	// shouldCorrupt reports whether to corrupt the response to a call.
	shouldCorrupt func(call int64) bool
	limiter       *rate.Limiter
}

func (s *testSource) Chunk(ctx context.Context, manifest core.Digest, index int) ([]byte, error) {
	call := s.calls.Add(1)
	if s.chunkError != nil {
		if err := s.chunkError(index); err != nil {
			return nil, err
		}
	}
	for _, m := range s.models {
		if m.manifest.Digest() != manifest {
			continue
		}
		data, err := m.reader.Chunk(index)
		if s.shouldCorrupt != nil && s.shouldCorrupt(call) {
			data[0] ^= 1
		}
		s.servedBytes.Add(int64(len(data)))
		return data, errors.Join(err, waitForBandwidth(ctx, s.limiter, len(data)))
	}
	return nil, backing.ErrNotFound
}

func waitForBandwidth(ctx context.Context, limiter *rate.Limiter, n int) error {
	for limiter != nil && n > 0 {
		count := min(n, limiter.Burst())
		if err := limiter.WaitN(ctx, count); err != nil {
			return err
		}
		n -= count
	}
	return nil
}

// fastTimeoutConfig shortens the timeouts so that tests of faults run quickly.
func fastTimeoutConfig() Config {
	return Config{
		StallTimeout:          300 * time.Millisecond,
		PingInterval:          50 * time.Millisecond,
		PendingRequestTimeout: 100 * time.Millisecond,
		TickInterval:          10 * time.Millisecond,
		Picker: weights.PickerConfig{
			LostPeerBackoff: 100 * time.Millisecond,
			SourceBackoff:   10 * time.Millisecond,
			JoinGrace:       100 * time.Millisecond,
			FallbackDelay:   100 * time.Millisecond,
		},
	}
}

// testFleet is a set of nodes on loopback with shaped links.
type testFleet struct {
	t             testing.TB
	origin, store *testSource
	mu            sync.Mutex
	nodes         map[core.InstanceID]*testNode
	targets       []Peer
	regionLinks   map[string]*rate.Limiter // Keyed by "from to".
	regionBytes   map[string]int64
	regionRate    rate.Limit
	instanceRate  rate.Limit
	config        Config // Applied to every node; addNode sets the identity.
	// readHook, if set, may corrupt or block a read.
	readHook func(ctx context.Context, reader, from Peer, p []byte)
}

type testNode struct {
	*Node
	scope                    tally.TestScope
	receivedBytes, sentBytes atomic.Int64
	downlink                 *rate.Limiter
	uplink                   *rate.Limiter
	stopOnce                 sync.Once
}

func newTestFleet(t testing.TB, models ...testModel) *testFleet {
	return &testFleet{
		t:           t,
		origin:      &testSource{models: models},
		store:       &testSource{models: models},
		nodes:       make(map[core.InstanceID]*testNode),
		regionLinks: make(map[string]*rate.Limiter),
		regionBytes: make(map[string]int64),
	}
}

func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// addNode starts a node and adds it to the targets.
func (f *testFleet) addNode(id, region string) *testNode {
	f.t.Helper()
	self := Peer{ID: core.InstanceID(id), Location: core.Location{Region: region}, ChunkAddr: freeAddr(f.t)}
	n := &testNode{
		scope:    tally.NewTestScope("", nil),
		downlink: newLimiter(f.instanceRate),
		uplink:   newLimiter(f.instanceRate),
	}
	cfg := f.config
	cfg.Self, cfg.OriginRegion, cfg.Seed = self, "r0", 1
	node, err := NewNode(
		cfg,
		Deps{Dial: f.dialer(n, self), Origin: f.origin, Store: f.store, FleetKey: testKey, Scope: n.scope},
	)
	assert.NilError(f.t, err)
	n.Node = node
	assert.NilError(f.t, node.Start())
	f.t.Cleanup(func() { f.stopNode(n) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[self.ID] = n
	f.targets = append(append([]Peer{}, f.targets...), self)
	return n
}

func newLimiter(r rate.Limit) *rate.Limiter {
	if r == 0 {
		return nil
	}
	return rate.NewLimiter(r, maxReadBytes)
}

func (f *testFleet) stopNode(n *testNode) {
	n.stopOnce.Do(func() { assert.Check(f.t, n.Stop(context.Background())) })
}

func (f *testFleet) peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets
}

// setTargets replaces the targets that nodes see.
func (f *testFleet) setTargets(peers []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = peers
}

func (f *testFleet) regionLink(from, to string) *rate.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := from + " " + to
	if f.regionRate == 0 || from == to {
		return nil
	}
	if f.regionLinks[key] == nil {
		f.regionLinks[key] = newLimiter(f.regionRate)
	}
	return f.regionLinks[key]
}

func (f *testFleet) countRegionBytes(from, to string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regionBytes[from+" "+to] += int64(n)
}

func (f *testFleet) dialer(reader *testNode, self Peer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		connCtx, cancel := context.WithCancel(context.Background())
		c := &shapedConn{Conn: conn, fleet: f, reader: reader, self: self, ctx: connCtx, cancel: cancel}
		for _, p := range f.peers() {
			if p.ChunkAddr == addr {
				c.from = p
			}
		}
		f.mu.Lock()
		c.sender = f.nodes[c.from.ID]
		f.mu.Unlock()
		return c, nil
	}
}

// shapedConn delays reads to the bandwidth of every link that the bytes cross.
type shapedConn struct {
	net.Conn
	fleet          *testFleet
	reader, sender *testNode
	self, from     Peer
	ctx            context.Context
	cancel         context.CancelFunc
}

func (c *shapedConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

func (c *shapedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || err != nil {
		return n, err
	}
	if c.fleet.readHook != nil {
		c.fleet.readHook(c.ctx, c.self, c.from, p[:n])
	}
	c.reader.receivedBytes.Add(int64(n))
	from, to := c.from.Location.Region, c.self.Location.Region
	if c.sender != nil {
		c.sender.sentBytes.Add(int64(n))
		err = waitForBandwidth(c.ctx, c.sender.uplink, n)
	}
	if from != to {
		c.fleet.countRegionBytes(from, to, n)
	}
	return n, errors.Join(err, waitForBandwidth(c.ctx, c.fleet.regionLink(from, to), n), waitForBandwidth(c.ctx, c.reader.downlink, n))
}

func faultCounter(fault string) string {
	return telemetry.MetricChunkFaults + "+" + telemetry.TagFault + "=" + fault
}

// counter returns a node's counter by its name and tags, as in "name+tag=value".
func (n *testNode) counter(id string) int64 {
	c := n.scope.Snapshot().Counters()[id]
	if c == nil {
		return 0
	}
	return c.Value()
}

// fetchAndVerify fetches a model on the given nodes, by default all, and verifies
// every set.
func (f *testFleet) fetchAndVerify(m testModel, nodes ...*testNode) {
	f.t.Helper()
	if len(nodes) == 0 {
		for _, n := range f.nodes {
			nodes = append(nodes, n)
		}
	}
	var g errgroup.Group
	for _, n := range nodes {
		g.Go(func() error {
			set, err := n.Fetch(context.Background(), m.manifest, f.peers)
			if err != nil {
				return err
			}
			return verifySet(set, m)
		})
	}
	assert.NilError(f.t, g.Wait())
}

func verifySet(set *weights.Set, m testModel) error {
	if !set.Complete() {
		return io.ErrUnexpectedEOF
	}
	for i, want := range m.manifest.Chunks {
		data, _ := set.Get(i)
		if core.SumDigest(data) != want {
			return &weights.CorruptChunkError{Chunk: i}
		}
	}
	return nil
}

// addNodes starts n nodes spread over testRegions.
func (f *testFleet) addNodes(n int) {
	f.t.Helper()
	for i := range n {
		f.addNode(fmt.Sprintf("i%03d", i), fmt.Sprintf("r%d", i%testRegions))
	}
}
