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
	manifest, err := Build("m", "1", files, MinChunkSize)
	assert.NilError(t, err)
	m := &fetchMachine{
		now:           testStart,
		reader:        NewChunkReader(files, manifest),
		set:           NewSet(manifest),
		targets:       testTargets(rapid.IntRange(1, 4).Draw(t, "size")),
		announced:     make(map[core.InstanceID]map[int]bool),
		excludedUntil: make(map[core.InstanceID]time.Time),
	}
	m.picker = NewPicker(PickerConfig{
		Self: rapid.SampledFrom(m.targets).Draw(t, "self"), OriginRegion: "r0",
		Manifest: m.set.Digest(), Chunks: m.set.Len(), Seed: rapid.Uint64().Draw(t, "seed"),
	}, m.now)
	m.picker.SetTargets(m.now, m.targets)
	return m
}

func (m *fetchMachine) next(t *rapid.T) {
	m.picker.Neighbours(m.now)
	for _, r := range m.picker.Next(m.now) {
		m.checkRequest(t, r)
		m.openRequests = append(m.openRequests, r)
	}
	perPeer := make(map[core.InstanceID]int)
	originRequests := 0
	for _, r := range m.openRequests {
		if r.Source.Kind == SourceOrigin || r.Source.Kind == SourceStore {
			originRequests++
		}
		if r.Source.Kind == SourcePeer {
			perPeer[r.Source.Peer]++
		}
	}
	assert.Check(t, originRequests <= m.picker.cfg.OriginRequests)
	for id, n := range perPeer {
		assert.Check(t, n <= m.picker.cfg.RequestsPerPeer, "%s", id)
	}
}

func (m *fetchMachine) checkRequest(t *rapid.T, r Request) {
	assert.Check(t, !m.set.Has(r.Chunk), "chunk %d is already stored", r.Chunk)
	assert.Check(t, !slices.ContainsFunc(m.openRequests, func(o Request) bool {
		return o.Chunk == r.Chunk && o.Source == r.Source
	}))
	if r.Source.Peer == "" {
		return
	}
	index := slices.IndexFunc(m.targets, func(t Target) bool { return t.ID == r.Source.Peer })
	assert.Assert(t, index >= 0, "%s is not a target", r.Source.Peer)
	assert.Check(t, !m.now.Before(m.excludedUntil[r.Source.Peer]), "%s is excluded", r.Source.Peer)
	sameRegion := m.targets[index].Region == m.picker.cfg.Self.Region
	assert.Equal(t, sameRegion, r.Source.Kind == SourcePeer)
	if sameRegion {
		assert.Check(t, m.announced[r.Source.Peer][r.Chunk], "%s does not hold %d", r.Source.Peer, r.Chunk)
	}
}

func (m *fetchMachine) takeRequest(t *rapid.T) Request {
	if len(m.openRequests) == 0 {
		t.Skip("nothing requested")
	}
	index := rapid.IntRange(0, len(m.openRequests)-1).Draw(t, "request")
	r := m.openRequests[index]
	m.openRequests = slices.Delete(m.openRequests, index, index+1)
	return r
}

func (m *fetchMachine) answer(t *rapid.T) {
	r := m.takeRequest(t)
	data, err := m.reader.Chunk(r.Chunk)
	assert.NilError(t, err)
	assert.NilError(t, m.set.Put(r.Chunk, data))
	for _, cancelled := range m.picker.Stored(m.now, r.Chunk, r.Source) {
		before := len(m.openRequests)
		m.openRequests = slices.DeleteFunc(m.openRequests, func(o Request) bool {
			return o.Chunk == r.Chunk && o.Source == cancelled
		})
		assert.Equal(t, len(m.openRequests), before-1)
	}
}

func (m *fetchMachine) corrupt(t *rapid.T) {
	r := m.takeRequest(t)
	data, err := m.reader.Chunk(r.Chunk)
	assert.NilError(t, err)
	data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1
	stored := m.set.Has(r.Chunk)
	if !stored {
		assert.Check(t, m.set.Put(r.Chunk, data) != nil)
	}
	m.picker.Failed(m.now, r.Chunk, r.Source, FailureCorrupt, 0)
	if r.Source.Peer != "" {
		m.excludedUntil[r.Source.Peer] = m.now.Add(m.picker.cfg.BanTime)
	}
}

func (m *fetchMachine) fail(t *rapid.T) {
	r := m.takeRequest(t)
	failures := []Failure{FailureRefused, FailureMissing}
	if r.Source.Peer == "" {
		failures = []Failure{FailureLimited, FailureUnavailable}
	}
	m.picker.Failed(m.now, r.Chunk, r.Source, rapid.SampledFrom(failures).Draw(t, "failure"), 50*time.Millisecond)
}

func (m *fetchMachine) announce(t *rapid.T) {
	peer := rapid.SampledFrom(m.targets).Draw(t, "peer")
	if peer.Region != m.picker.cfg.Self.Region || peer.ID == m.picker.cfg.Self.ID || m.now.Before(m.excludedUntil[peer.ID]) {
		t.Skip("not an available neighbour")
	}
	if m.announced[peer.ID] == nil {
		m.announced[peer.ID] = make(map[int]bool)
		m.picker.PeerUp(m.now, peer.ID, nil, 0)
	}
	chunks := rapid.SliceOfN(rapid.IntRange(-1, m.set.Len()), 0, 8).Draw(t, "chunks")
	for _, i := range chunks {
		m.announced[peer.ID][i] = true
	}
	m.picker.PeerHas(m.now, peer.ID, chunks, rapid.IntRange(0, 9).Draw(t, "served"))
}

func (m *fetchMachine) lose(t *rapid.T) {
	id := rapid.SampledFrom(m.targets).Draw(t, "peer").ID
	if id == m.picker.cfg.Self.ID {
		t.Skip("self")
	}
	m.picker.PeerDown(m.now, id)
	m.forget(id)
	m.excludedUntil[id] = m.now.Add(m.picker.cfg.LostPeerBackoff)
}

func (m *fetchMachine) forget(id core.InstanceID) {
	delete(m.announced, id)
	m.openRequests = slices.DeleteFunc(m.openRequests, func(r Request) bool { return r.Source.Peer == id })
}

func (m *fetchMachine) replace(t *rapid.T) {
	index := rapid.IntRange(0, len(m.targets)-1).Draw(t, "target")
	old := m.targets[index]
	if old.ID == m.picker.cfg.Self.ID {
		t.Skip("self")
	}
	m.replacements++
	m.targets = slices.Clone(m.targets)
	m.targets[index].ID = core.InstanceID(fmt.Sprintf("new%d", m.replacements))
	m.picker.SetTargets(m.now, m.targets)
	m.forget(old.ID)
}

func (m *fetchMachine) check(t *rapid.T) {
	stored := 0
	for i := range m.set.Len() {
		data, ok := m.set.Get(i)
		if ok {
			stored++
			assert.Equal(t, core.SumDigest(data), m.set.Manifest().Chunks[i])
		}
		assert.Equal(t, m.set.Bitmap().Has(i), ok)
	}
	assert.Equal(t, m.set.Count(), stored)
	assert.Equal(t, m.picker.Remaining(), m.set.Len()-stored)
	inFlight := 0
	for i := range m.picker.chunks {
		inFlight += len(m.picker.chunks[i].inFlight)
	}
	assert.Equal(t, inFlight, len(m.openRequests))
}

// finish checks that the transfer completes once the faults end.
func (m *fetchMachine) finish(t *rapid.T) {
	for range 10 * m.set.Len() {
		m.next(t)
		for len(m.openRequests) > 0 {
			r := m.openRequests[0]
			m.openRequests = m.openRequests[1:]
			data, _ := m.reader.Chunk(r.Chunk)
			assert.NilError(t, m.set.Put(r.Chunk, data))
			for _, cancelled := range m.picker.Stored(m.now, r.Chunk, r.Source) {
				m.openRequests = slices.DeleteFunc(m.openRequests, func(o Request) bool {
					return o.Chunk == r.Chunk && o.Source == cancelled
				})
			}
		}
		if m.set.Complete() {
			return
		}
		m.now = m.now.Add(500 * time.Millisecond)
	}
	t.Fatalf("%d chunks are missing", m.picker.Remaining())
}

// TestStatefulFetch compares a Picker and a Set with a model under random
// sequences of events.
func TestStatefulFetch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFetchMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"next":     m.next,
			"answer":   m.answer,
			"corrupt":  m.corrupt,
			"fail":     m.fail,
			"announce": m.announce,
			"lose":     m.lose,
			"replace":  m.replace,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
		m.finish(t)
	})
}
