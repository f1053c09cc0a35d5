package weights

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
)

// fetchMachine drives one Picker and Set with random events and compares them
// with what it keeps itself: open requests, announced chunks and true bytes.
type fetchMachine struct {
	now     time.Time
	files   *Reader
	set     *Set
	picker  *Picker
	targets []Target
	open    []Request
	has     map[core.InstanceID]map[int]bool // Announced by peers that are up.
	away    map[core.InstanceID]time.Time    // Peers left out until then.
	spare   int
}

func newFetchMachine(t *rapid.T) *fetchMachine {
	files := testFiles(30*MinChunkSize - 5)
	m, err := Build("m", "1", files, MinChunkSize)
	assert.NilError(t, err)
	s := &fetchMachine{
		now:     testStart,
		files:   ChunkReader(files, m),
		set:     NewSet(m),
		targets: testTargets(rapid.IntRange(1, 4).Draw(t, "size")),
		has:     make(map[core.InstanceID]map[int]bool),
		away:    make(map[core.InstanceID]time.Time),
	}
	s.picker = NewPicker(PickerConfig{
		Self: rapid.SampledFrom(s.targets).Draw(t, "self"), OriginRegion: "r0",
		Manifest: s.set.Digest(), Chunks: s.set.Len(), Seed: rapid.Uint64().Draw(t, "seed"),
	}, s.now)
	s.picker.SetTargets(s.now, s.targets)
	return s
}

func (s *fetchMachine) next(t *rapid.T) {
	s.picker.Neighbours(s.now)
	for _, r := range s.picker.Next(s.now) {
		s.checkRequest(t, r)
		s.open = append(s.open, r)
	}
	perPeer := make(map[core.InstanceID]int)
	direct := 0
	for _, r := range s.open {
		if r.Source.Kind == SourceOrigin || r.Source.Kind == SourceStore {
			direct++
		}
		if r.Source.Kind == SourcePeer {
			perPeer[r.Source.Peer]++
		}
	}
	assert.Check(t, direct <= s.picker.cfg.OriginRequests)
	for id, n := range perPeer {
		assert.Check(t, n <= s.picker.cfg.RequestsPerPeer, "%s", id)
	}
}

func (s *fetchMachine) checkRequest(t *rapid.T, r Request) {
	assert.Check(t, !s.set.Has(r.Chunk), "chunk %d is held", r.Chunk)
	assert.Check(t, !slices.ContainsFunc(s.open, func(o Request) bool {
		return o.Chunk == r.Chunk && o.Source == r.Source
	}))
	if r.Source.Peer == "" {
		return
	}
	at := slices.IndexFunc(s.targets, func(t Target) bool { return t.ID == r.Source.Peer })
	assert.Assert(t, at >= 0, "%s is no target", r.Source.Peer)
	assert.Check(t, !s.now.Before(s.away[r.Source.Peer]), "%s is left out", r.Source.Peer)
	sameRegion := s.targets[at].Region == s.picker.cfg.Self.Region
	assert.Equal(t, sameRegion, r.Source.Kind == SourcePeer)
	if sameRegion {
		assert.Check(t, s.has[r.Source.Peer][r.Chunk], "%s does not hold %d", r.Source.Peer, r.Chunk)
	}
}

func (s *fetchMachine) take(t *rapid.T) Request {
	if len(s.open) == 0 {
		t.Skip("nothing requested")
	}
	at := rapid.IntRange(0, len(s.open)-1).Draw(t, "request")
	r := s.open[at]
	s.open = slices.Delete(s.open, at, at+1)
	return r
}

func (s *fetchMachine) answer(t *rapid.T) {
	r := s.take(t)
	data, err := s.files.Chunk(r.Chunk)
	assert.NilError(t, err)
	assert.NilError(t, s.set.Put(r.Chunk, data))
	for _, cancelled := range s.picker.Stored(s.now, r.Chunk, r.Source) {
		before := len(s.open)
		s.open = slices.DeleteFunc(s.open, func(o Request) bool {
			return o.Chunk == r.Chunk && o.Source == cancelled
		})
		assert.Equal(t, len(s.open), before-1)
	}
}

func (s *fetchMachine) corrupt(t *rapid.T) {
	r := s.take(t)
	data, err := s.files.Chunk(r.Chunk)
	assert.NilError(t, err)
	data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1
	held := s.set.Has(r.Chunk)
	if !held {
		assert.Check(t, s.set.Put(r.Chunk, data) != nil)
	}
	s.picker.Failed(s.now, r.Chunk, r.Source, FailureCorrupt, 0)
	if r.Source.Peer != "" {
		s.away[r.Source.Peer] = s.now.Add(s.picker.cfg.BanTime)
	}
}

func (s *fetchMachine) fail(t *rapid.T) {
	r := s.take(t)
	failures := []Failure{FailureRefused, FailureMissing}
	if r.Source.Peer == "" {
		failures = []Failure{FailureLimited, FailureUnavailable}
	}
	s.picker.Failed(s.now, r.Chunk, r.Source, rapid.SampledFrom(failures).Draw(t, "failure"), 50*time.Millisecond)
}

func (s *fetchMachine) announce(t *rapid.T) {
	id := rapid.SampledFrom(s.targets).Draw(t, "peer")
	if id.Region != s.picker.cfg.Self.Region || id.ID == s.picker.cfg.Self.ID || s.now.Before(s.away[id.ID]) {
		t.Skip("no neighbour")
	}
	if s.has[id.ID] == nil {
		s.has[id.ID] = make(map[int]bool)
		s.picker.PeerUp(s.now, id.ID, nil, 0)
	}
	chunks := rapid.SliceOfN(rapid.IntRange(-1, s.set.Len()), 0, 8).Draw(t, "chunks")
	for _, i := range chunks {
		s.has[id.ID][i] = true
	}
	s.picker.PeerHas(s.now, id.ID, chunks, rapid.IntRange(0, 9).Draw(t, "served"))
}

func (s *fetchMachine) lose(t *rapid.T) {
	id := rapid.SampledFrom(s.targets).Draw(t, "peer").ID
	if id == s.picker.cfg.Self.ID {
		t.Skip("self")
	}
	s.picker.PeerDown(s.now, id)
	s.forget(id)
	s.away[id] = s.now.Add(s.picker.cfg.DownTime)
}

func (s *fetchMachine) forget(id core.InstanceID) {
	delete(s.has, id)
	s.open = slices.DeleteFunc(s.open, func(r Request) bool { return r.Source.Peer == id })
}

func (s *fetchMachine) replace(t *rapid.T) {
	at := rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")
	old := s.targets[at]
	if old.ID == s.picker.cfg.Self.ID {
		t.Skip("self")
	}
	s.spare++
	s.targets = slices.Clone(s.targets)
	s.targets[at].ID = core.InstanceID(fmt.Sprintf("new%d", s.spare))
	s.picker.SetTargets(s.now, s.targets)
	s.forget(old.ID)
}

func (s *fetchMachine) check(t *rapid.T) {
	held := 0
	for i := range s.set.Len() {
		data, ok := s.set.Get(i)
		if ok {
			held++
			assert.Equal(t, core.SumDigest(data), s.set.Manifest().Chunks[i])
		}
		assert.Equal(t, s.set.Bitmap().Has(i), ok)
	}
	assert.Equal(t, s.set.Count(), held)
	assert.Equal(t, s.picker.Left(), s.set.Len()-held)
	flights := 0
	for i := range s.picker.chunks {
		flights += len(s.picker.chunks[i].flights)
	}
	assert.Equal(t, flights, len(s.open))
}

// finish ends all faults: the transfer must then complete.
func (s *fetchMachine) finish(t *rapid.T) {
	for range 10 * s.set.Len() {
		s.next(t)
		for len(s.open) > 0 {
			r := s.open[0]
			s.open = s.open[1:]
			data, _ := s.files.Chunk(r.Chunk)
			assert.NilError(t, s.set.Put(r.Chunk, data))
			for _, cancelled := range s.picker.Stored(s.now, r.Chunk, r.Source) {
				s.open = slices.DeleteFunc(s.open, func(o Request) bool {
					return o.Chunk == r.Chunk && o.Source == cancelled
				})
			}
		}
		if s.set.Complete() {
			return
		}
		s.now = s.now.Add(500 * time.Millisecond)
	}
	t.Fatalf("%d chunks are missing", s.picker.Left())
}

// TestStatefulFetch runs random events against the machine's own bookkeeping.
func TestStatefulFetch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFetchMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"next":     s.next,
			"answer":   s.answer,
			"corrupt":  s.corrupt,
			"fail":     s.fail,
			"announce": s.announce,
			"lose":     s.lose,
			"replace":  s.replace,
			"wait": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": s.check,
		})
		s.finish(t)
	})
}
