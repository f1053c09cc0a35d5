package weights

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

var (
	testStart    = time.Unix(1000, 0)
	testManifest = core.SumDigest([]byte("manifest"))
)

const testChunks = 48

// testTargets returns n targets in each of three regions.
func testTargets(n int) []Target {
	var targets []Target
	for region := range 3 {
		for i := range n {
			id := core.InstanceID(fmt.Sprintf("r%d-%d", region, i))
			targets = append(targets, Target{ID: id, Region: fmt.Sprintf("r%d", region)})
		}
	}
	return targets
}

func testPicker(self Target, targets []Target) *Picker {
	p := NewPicker(PickerConfig{Self: self, OriginRegion: "r0", Manifest: testManifest, Chunks: testChunks}, testStart)
	p.SetTargets(testStart, targets)
	p.Neighbours(testStart)
	return p
}

// drain takes requests and ends each with end until there are no more.
func drain(p *Picker, now time.Time, end func(Request)) []Request {
	var all []Request
	for requests := p.Next(now); len(requests) > 0; requests = p.Next(now) {
		all = append(all, requests...)
		for _, r := range requests {
			end(r)
		}
	}
	return all
}

// TestFirstFetchersDivideChunks asks every picker at the start: each chunk is
// drawn from the origin once and crosses into each other region once.
func TestFirstFetchersDivideChunks(t *testing.T) {
	targets := testTargets(20)
	origin := make(map[int]int)
	region := make(map[string]int)
	links := make(map[string]int)
	for _, self := range targets {
		p := testPicker(self, targets)
		for _, r := range drain(p, testStart, func(r Request) { p.Stored(testStart, r.Chunk, r.Source) }) {
			switch r.Source.Kind {
			case SourceOrigin:
				assert.Equal(t, self.Region, "r0")
				origin[r.Chunk]++
			case SourceRegionPeer:
				region[fmt.Sprint(self.Region, r.Chunk)]++
				links[string(r.Source.Peer[:2])+self.Region]++
			case SourcePeer, SourceStore:
				t.Fatalf("unexpected request %+v", r)
			}
		}
	}
	assert.Equal(t, len(origin), testChunks)
	assert.Equal(t, len(region), 2*testChunks)
	for chunk, n := range origin {
		assert.Equal(t, n, 1, "chunk %d", chunk)
	}
	for key, n := range region {
		assert.Equal(t, n, 1, key)
	}
	half := testChunks / 2
	assert.DeepEqual(t, links, map[string]int{"r0r1": half, "r0r2": half, "r1r2": half, "r2r1": half})
}

// TestDeadFirstFetcher loses one origin fetcher: the second of each of its
// chunks takes over at once, nobody else does.
func TestDeadFirstFetcher(t *testing.T) {
	targets := testTargets(4)
	dead := targets[0].ID
	drawn := make(map[int]int)
	for _, self := range targets[1:4] {
		p := testPicker(self, targets)
		p.PeerDown(testStart, dead)
		for _, r := range drain(p, testStart, func(r Request) { p.Stored(testStart, r.Chunk, r.Source) }) {
			drawn[r.Chunk]++
		}
	}
	assert.Equal(t, len(drawn), testChunks)
	for chunk, n := range drawn {
		assert.Equal(t, n, 1, "chunk %d", chunk)
	}
}

// TestIdleFirstFetcher keeps a first fetcher connected that does nothing: the
// second acts after the fallback delay and the others stay quiet.
func TestIdleFirstFetcher(t *testing.T) {
	targets := testTargets(4)
	layout := NewLayout(testManifest, "r0", 0, targets)
	order := layout.Fetchers("r0", 0)
	requested := func(position int, now time.Time) bool {
		p := testPicker(Target{ID: order[position], Region: "r0"}, targets)
		for _, id := range order {
			p.PeerUp(testStart, id, nil, 0)
		}
		for i := 1; i < testChunks; i++ {
			p.Stored(testStart, i, Source{})
		}
		return len(p.Next(now)) > 0
	}
	late := testStart.Add(4 * time.Second)
	assert.Check(t, requested(0, testStart))
	assert.Check(t, !requested(1, testStart.Add(time.Second)))
	assert.Check(t, requested(1, late))
	assert.Check(t, !requested(2, late))
}

// TestOriginDown has the store take over and the origin tried now and then.
func TestOriginDown(t *testing.T) {
	self := Target{ID: "a", Region: "r0"}
	p := testPicker(self, nil)
	asked := make(map[SourceKind]int)
	drain(p, testStart, func(r Request) {
		asked[r.Source.Kind]++
		if r.Source.Kind == SourceOrigin {
			p.Failed(testStart, r.Chunk, r.Source, FailureUnavailable, 0)
			return
		}
		p.Stored(testStart, r.Chunk, r.Source)
	})
	assert.Equal(t, p.Left(), 0)
	assert.Equal(t, asked[SourceOrigin], p.cfg.OriginRequests)
	assert.Equal(t, asked[SourceStore], testChunks)
}

// TestStoreLimit waits as long as the limited store asks.
func TestStoreLimit(t *testing.T) {
	p := testPicker(Target{ID: "a", Region: "r0"}, nil)
	drain(p, testStart, func(r Request) {
		failure, pause := FailureUnavailable, time.Duration(0)
		if r.Source.Kind == SourceStore {
			failure, pause = FailureLimited, 700*time.Millisecond
		}
		p.Failed(testStart, r.Chunk, r.Source, failure, pause)
	})
	assert.Equal(t, len(p.Next(testStart.Add(699*time.Millisecond))), 0)
	requests := p.Next(testStart.Add(700 * time.Millisecond))
	assert.Check(t, len(requests) > 0)
	assert.Equal(t, requests[0].Source.Kind, SourceStore)
}

// TestCorruptPeer asks another holder after a corrupt chunk, and the bad one
// again once its ban ended.
func TestCorruptPeer(t *testing.T) {
	targets := []Target{{ID: "a", Region: "r1"}, {ID: "b", Region: "r1"}, {ID: "o", Region: "r0"}}
	p := testPicker(Target{ID: "c", Region: "r1"}, targets)
	has := NewBitmap(testChunks)
	has.Add(7)
	p.PeerUp(testStart, "a", has, 0)
	p.PeerUp(testStart, "b", has, 1)
	first := requestsOf(p.Next(testStart), 7)
	assert.DeepEqual(t, first, []Source{{Kind: SourcePeer, Peer: "a"}})
	p.Failed(testStart, 7, first[0], FailureCorrupt, 0)
	second := requestsOf(p.Next(testStart), 7)
	assert.DeepEqual(t, second, []Source{{Kind: SourcePeer, Peer: "b"}})
	p.PeerDown(testStart, "b")
	assert.Equal(t, len(requestsOf(p.Next(testStart), 7)), 0)
	assert.DeepEqual(t, requestsOf(p.Next(testStart.Add(time.Second)), 7), first)
}

// TestStalledRegionLink loses the remote fetcher: the next one is asked.
func TestStalledRegionLink(t *testing.T) {
	targets := testTargets(3)
	layout := NewLayout(testManifest, "r0", 0, targets)
	self := layout.Fetchers("r1", 0)[0]
	chain := layout.Chain(0)
	at := slices.Index(chain, "r1")
	remote := layout.Fetchers(chain[at-1], 0)
	for _, other := range chain {
		if other != "r1" && other != chain[at-1] {
			remote = append(remote, layout.Fetchers(other, 0)...)
		}
	}
	p := testPicker(Target{ID: self, Region: "r1"}, targets)
	for i := 1; i < testChunks; i++ {
		p.Stored(testStart, i, Source{})
	}
	for attempt := range remote {
		assert.DeepEqual(t, requestsOf(p.Next(testStart), 0), []Source{{Kind: SourceRegionPeer, Peer: remote[attempt]}})
		p.PeerDown(testStart, remote[attempt])
	}
	assert.Equal(t, len(p.Next(testStart)), 0)
	assert.DeepEqual(t, requestsOf(p.Next(testStart.Add(4*time.Second)), 0), []Source{{Kind: SourceOrigin}})
}

func requestsOf(requests []Request, chunk int) []Source {
	var sources []Source
	for _, r := range requests {
		if r.Chunk == chunk {
			sources = append(sources, r.Source)
		}
	}
	return sources
}

// TestRegionsLoseEachOther loses every peer of other regions as it is asked:
// the region draws on the origin after a while and returns to its peers once
// they answer again.
func TestRegionsLoseEachOther(t *testing.T) {
	targets := testTargets(8)
	self := NewLayout(testManifest, "r0", 0, targets).Fetchers("r1", 0)[0]
	p := testPicker(Target{ID: self, Region: "r1"}, targets)
	lose := func(now time.Time) (lost int, direct []Request) {
		drain(p, now, func(r Request) {
			if r.Source.Kind != SourceRegionPeer {
				direct = append(direct, r)
				p.Stored(now, r.Chunk, r.Source)
				return
			}
			lost++
			p.PeerDown(now, r.Source.Peer)
		})
		return lost, direct
	}
	lost, direct := lose(testStart)
	assert.Check(t, lost <= 2*regionLostAfter+1, "%d", lost)
	assert.Equal(t, len(direct), 0)
	_, direct = lose(testStart.Add(4 * time.Second))
	assert.Check(t, len(direct) > 0)
	later := testStart.Add(2 * time.Minute)
	for _, r := range p.Next(later) {
		assert.Equal(t, r.Source.Kind, SourceRegionPeer)
	}
}
