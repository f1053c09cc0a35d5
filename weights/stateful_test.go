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
// with its own model: open requests, announced chunks and correct bytes.
type fetchMachine struct {
	now           time.Time
	reader        *ChunkReader
	set           *Set
	picker        *Picker
	targets       []Target
	openRequests  []Request
	announced     map[core.InstanceID]map[int]bool // Chunks announced by connected peers.
	excludedUntil map[core.InstanceID]time.Time    // End of a peer's ban or backoff.
	replacements  int
}

func newFetchMachine(t *rapid.T) *fetchMachine {
	files := testFiles(30*MinChunkSize - 5)
	m, err := Build("m", "1", files, MinChunkSize)
	assert.NilError(t, err)
	s := &fetchMachine{
		now:           testStart,
		reader:        NewChunkReader(files, m),
		set:           NewSet(m),
		targets:       testTargets(rapid.IntRange(1, 4).Draw(t, "size")),
		announced:     make(map[core.InstanceID]map[int]bool),
		excludedUntil: make(map[core.InstanceID]time.Time),
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
		s.openRequests = append(s.openRequests, r)
	}
	perPeer := make(map[core.InstanceID]int)
	originRequests := 0
	for _, r := range s.openRequests {
		if r.Source.Kind == SourceOrigin || r.Source.Kind == SourceStore {
			originRequests++
		}
		if r.Source.Kind == SourcePeer {
			perPeer[r.Source.Peer]++
		}
	}
	assert.Check(t, originRequests <= s.picker.cfg.OriginRequests)
	for id, n := range perPeer {
		assert.Check(t, n <= s.picker.cfg.RequestsPerPeer, "%s", id)
	}
}

func (s *fetchMachine) checkRequest(t *rapid.T, r Request) {
	assert.Check(t, !s.set.Has(r.Chunk), "chunk %d is held", r.Chunk)
	assert.Check(t, !slices.ContainsFunc(s.openRequests, func(o Request) bool {
		return o.Chunk == r.Chunk && o.Source == r.Source
	}))
	if r.Source.Peer == "" {
		return
	}
	index := slices.IndexFunc(s.targets, func(t Target) bool { return t.ID == r.Source.Peer })
	assert.Assert(t, index >= 0, "%s is no target", r.Source.Peer)
	assert.Check(t, !s.now.Before(s.excludedUntil[r.Source.Peer]), "%s is excluded", r.Source.Peer)
	sameRegion := s.targets[index].Region == s.picker.cfg.Self.Region
	assert.Equal(t, sameRegion, r.Source.Kind == SourcePeer)
	if sameRegion {
		assert.Check(t, s.announced[r.Source.Peer][r.Chunk], "%s does not hold %d", r.Source.Peer, r.Chunk)
	}
}

func (s *fetchMachine) takeRequest(t *rapid.T) Request {
	if len(s.openRequests) == 0 {
		t.Skip("nothing requested")
	}
	index := rapid.IntRange(0, len(s.openRequests)-1).Draw(t, "request")
	r := s.openRequests[index]
	s.openRequests = slices.Delete(s.openRequests, index, index+1)
	return r
}

func (s *fetchMachine) answer(t *rapid.T) {
	r := s.takeRequest(t)
	data, err := s.reader.Chunk(r.Chunk)
	assert.NilError(t, err)
	assert.NilError(t, s.set.Put(r.Chunk, data))
	for _, cancelled := range s.picker.Stored(s.now, r.Chunk, r.Source) {
		before := len(s.openRequests)
		s.openRequests = slices.DeleteFunc(s.openRequests, func(o Request) bool {
			return o.Chunk == r.Chunk && o.Source == cancelled
		})
		assert.Equal(t, len(s.openRequests), before-1)
	}
}

func (s *fetchMachine) corrupt(t *rapid.T) {
	r := s.takeRequest(t)
	data, err := s.reader.Chunk(r.Chunk)
	assert.NilError(t, err)
	data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1
	held := s.set.Has(r.Chunk)
	if !held {
		assert.Check(t, s.set.Put(r.Chunk, data) != nil)
	}
	s.picker.Failed(s.now, r.Chunk, r.Source, FailureCorrupt, 0)
	if r.Source.Peer != "" {
		s.excludedUntil[r.Source.Peer] = s.now.Add(s.picker.cfg.BanTime)
	}
}

func (s *fetchMachine) fail(t *rapid.T) {
	r := s.takeRequest(t)
	failures := []Failure{FailureRefused, FailureMissing}
	if r.Source.Peer == "" {
		failures = []Failure{FailureLimited, FailureUnavailable}
	}
	s.picker.Failed(s.now, r.Chunk, r.Source, rapid.SampledFrom(failures).Draw(t, "failure"), 50*time.Millisecond)
}

func (s *fetchMachine) announce(t *rapid.T) {
	peer := rapid.SampledFrom(s.targets).Draw(t, "peer")
	if peer.Region != s.picker.cfg.Self.Region || peer.ID == s.picker.cfg.Self.ID || s.now.Before(s.excludedUntil[peer.ID]) {
		t.Skip("no neighbour")
	}
	if s.announced[peer.ID] == nil {
		s.announced[peer.ID] = make(map[int]bool)
		s.picker.PeerUp(s.now, peer.ID, nil, 0)
	}
	chunks := rapid.SliceOfN(rapid.IntRange(-1, s.set.Len()), 0, 8).Draw(t, "chunks")
	for _, i := range chunks {
		s.announced[peer.ID][i] = true
	}
	s.picker.PeerHas(s.now, peer.ID, chunks, rapid.IntRange(0, 9).Draw(t, "served"))
}

func (s *fetchMachine) lose(t *rapid.T) {
	id := rapid.SampledFrom(s.targets).Draw(t, "peer").ID
	if id == s.picker.cfg.Self.ID {
		t.Skip("self")
	}
	s.picker.PeerDown(s.now, id)
	s.forget(id)
	s.excludedUntil[id] = s.now.Add(s.picker.cfg.LostPeerBackoff)
}

func (s *fetchMachine) forget(id core.InstanceID) {
	delete(s.announced, id)
	s.openRequests = slices.DeleteFunc(s.openRequests, func(r Request) bool { return r.Source.Peer == id })
}

func (s *fetchMachine) replace(t *rapid.T) {
	index := rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")
	old := s.targets[index]
	if old.ID == s.picker.cfg.Self.ID {
		t.Skip("self")
	}
	s.replacements++
	s.targets = slices.Clone(s.targets)
	s.targets[index].ID = core.InstanceID(fmt.Sprintf("new%d", s.replacements))
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
	assert.Equal(t, s.picker.Remaining(), s.set.Len()-held)
	inFlight := 0
	for i := range s.picker.chunks {
		inFlight += len(s.picker.chunks[i].inFlight)
	}
	assert.Equal(t, inFlight, len(s.openRequests))
}

// finish checks that the transfer completes once the faults end.
func (s *fetchMachine) finish(t *rapid.T) {
	for range 10 * s.set.Len() {
		s.next(t)
		for len(s.openRequests) > 0 {
			r := s.openRequests[0]
			s.openRequests = s.openRequests[1:]
			data, _ := s.reader.Chunk(r.Chunk)
			assert.NilError(t, s.set.Put(r.Chunk, data))
			for _, cancelled := range s.picker.Stored(s.now, r.Chunk, r.Source) {
				s.openRequests = slices.DeleteFunc(s.openRequests, func(o Request) bool {
					return o.Chunk == r.Chunk && o.Source == cancelled
				})
			}
		}
		if s.set.Complete() {
			return
		}
		s.now = s.now.Add(500 * time.Millisecond)
	}
	t.Fatalf("%d chunks are missing", s.picker.Remaining())
}

// TestStatefulFetch compares a Picker and a Set with a model under random
// sequences of events.
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
