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

// answerRequests calls answer for each request of Next until there are no more,
// and returns them.
func answerRequests(p *Picker, now time.Time, answer func(Request)) []Request {
	var answered []Request
	for requests := p.Next(now); len(requests) > 0; requests = p.Next(now) {
		answered = append(answered, requests...)
		for _, r := range requests {
			answer(r)
		}
	}
	return answered
}

// TestPrimaryFetchersDivideChunks takes the first requests of every picker: each
// chunk is fetched from the origin once and into each other region once.
func TestPrimaryFetchersDivideChunks(t *testing.T) {
	targets := testTargets(20)
	originFetches := make(map[int]int)
	regionFetches := make(map[string]int)
	linkFetches := make(map[string]int)
	for _, self := range targets {
		p := testPicker(self, targets)
		for _, r := range answerRequests(p, testStart, func(r Request) { p.Stored(testStart, r.Chunk, r.Source) }) {
			switch r.Source.Kind {
			case SourceOrigin:
				assert.Equal(t, self.Region, "r0")
				originFetches[r.Chunk]++
			case SourceRegionPeer:
				regionFetches[fmt.Sprint(self.Region, r.Chunk)]++
				linkFetches[string(r.Source.Peer[:2])+self.Region]++
			case SourcePeer, SourceStore:
				t.Fatalf("unexpected request %+v", r)
			}
		}
	}
	assert.Equal(t, len(originFetches), testChunks)
	assert.Equal(t, len(regionFetches), 2*testChunks)
	for chunk, n := range originFetches {
		assert.Equal(t, n, 1, "chunk %d", chunk)
	}
	for key, n := range regionFetches {
		assert.Equal(t, n, 1, key)
	}
	half := testChunks / 2
	assert.DeepEqual(t, linkFetches, map[string]int{"r0r1": half, "r0r2": half, "r1r2": half, "r2r1": half})
}

// TestDeadPrimaryFetcher loses one origin fetcher: only the second fetcher of
// each of its chunks takes over, at once.
func TestDeadPrimaryFetcher(t *testing.T) {
	targets := testTargets(4)
	dead := targets[0].ID
	fetched := make(map[int]int)
	for _, self := range targets[1:4] {
		p := testPicker(self, targets)
		p.PeerDown(testStart, dead)
		for _, r := range answerRequests(p, testStart, func(r Request) { p.Stored(testStart, r.Chunk, r.Source) }) {
			fetched[r.Chunk]++
		}
	}
	assert.Equal(t, len(fetched), testChunks)
	for chunk, n := range fetched {
		assert.Equal(t, n, 1, "chunk %d", chunk)
	}
}

// TestIdlePrimaryFetcher has a primary fetcher that is connected but requests
// nothing: after the fallback delay only the second fetcher takes over.
func TestIdlePrimaryFetcher(t *testing.T) {
	targets := testTargets(4)
	plan := NewFetchPlan(testManifest, "r0", 0, targets)
	order := plan.Fetchers("r0", 0)
	requested := func(rank int, now time.Time) bool {
		p := testPicker(Target{ID: order[rank], Region: "r0"}, targets)
		for _, id := range order {
			p.PeerUp(testStart, id, nil, 0)
		}
		for i := 1; i < testChunks; i++ {
			p.Stored(testStart, i, Source{})
		}
		return len(p.Next(now)) > 0
	}
	afterDelay := testStart.Add(4 * time.Second)
	assert.Check(t, requested(0, testStart))
	assert.Check(t, !requested(1, testStart.Add(time.Second)))
	assert.Check(t, requested(1, afterDelay))
	assert.Check(t, !requested(2, afterDelay))
}

// TestOriginDown fetches every chunk from the store while the origin fails its
// first requests.
func TestOriginDown(t *testing.T) {
	self := Target{ID: "a", Region: "r0"}
	p := testPicker(self, nil)
	requested := make(map[SourceKind]int)
	answerRequests(p, testStart, func(r Request) {
		requested[r.Source.Kind]++
		if r.Source.Kind == SourceOrigin {
			p.Failed(testStart, r.Chunk, r.Source, FailureUnavailable, 0)
			return
		}
		p.Stored(testStart, r.Chunk, r.Source)
	})
	assert.Equal(t, p.Remaining(), 0)
	assert.Equal(t, requested[SourceOrigin], p.cfg.OriginRequests)
	assert.Equal(t, requested[SourceStore], testChunks)
}

// TestStoreLimit waits as long as the rate-limited store asks.
func TestStoreLimit(t *testing.T) {
	p := testPicker(Target{ID: "a", Region: "r0"}, nil)
	answerRequests(p, testStart, func(r Request) {
		failure, retryAfter := FailureUnavailable, time.Duration(0)
		if r.Source.Kind == SourceStore {
			failure, retryAfter = FailureLimited, 700*time.Millisecond
		}
		p.Failed(testStart, r.Chunk, r.Source, failure, retryAfter)
	})
	assert.Equal(t, len(p.Next(testStart.Add(699*time.Millisecond))), 0)
	requests := p.Next(testStart.Add(700 * time.Millisecond))
	assert.Check(t, len(requests) > 0)
	assert.Equal(t, requests[0].Source.Kind, SourceStore)
}

// TestCorruptPeerIsBanned requests a chunk from another holder after a corrupt
// answer, and from the first one again once its ban is over.
func TestCorruptPeerIsBanned(t *testing.T) {
	targets := []Target{{ID: "a", Region: "r1"}, {ID: "b", Region: "r1"}, {ID: "o", Region: "r0"}}
	p := testPicker(Target{ID: "c", Region: "r1"}, targets)
	has := NewBitmap(testChunks)
	has.Add(7)
	p.PeerUp(testStart, "a", has, 0)
	p.PeerUp(testStart, "b", has, 1)
	firstSources := sourcesOf(p.Next(testStart), 7)
	assert.DeepEqual(t, firstSources, []Source{{Kind: SourcePeer, Peer: "a"}})
	p.Failed(testStart, 7, firstSources[0], FailureCorrupt, 0)
	secondSources := sourcesOf(p.Next(testStart), 7)
	assert.DeepEqual(t, secondSources, []Source{{Kind: SourcePeer, Peer: "b"}})
	p.PeerDown(testStart, "b")
	assert.Equal(t, len(sourcesOf(p.Next(testStart), 7)), 0)
	assert.DeepEqual(t, sourcesOf(p.Next(testStart.Add(time.Second)), 7), firstSources)
}

// TestStalledRegionLink loses one remote fetcher after the other: the chunk is
// requested from the next, and after the last from the origin.
func TestStalledRegionLink(t *testing.T) {
	targets := testTargets(3)
	plan := NewFetchPlan(testManifest, "r0", 0, targets)
	self := plan.Fetchers("r1", 0)[0]
	chain := plan.Chain(0)
	position := slices.Index(chain, "r1")
	remote := plan.Fetchers(chain[position-1], 0)
	for _, other := range chain {
		if other != "r1" && other != chain[position-1] {
			remote = append(remote, plan.Fetchers(other, 0)...)
		}
	}
	p := testPicker(Target{ID: self, Region: "r1"}, targets)
	for i := 1; i < testChunks; i++ {
		p.Stored(testStart, i, Source{})
	}
	for attempt := range remote {
		assert.DeepEqual(t, sourcesOf(p.Next(testStart), 0), []Source{{Kind: SourceRegionPeer, Peer: remote[attempt]}})
		p.PeerDown(testStart, remote[attempt])
	}
	assert.Equal(t, len(p.Next(testStart)), 0)
	assert.DeepEqual(t, sourcesOf(p.Next(testStart.Add(4*time.Second)), 0), []Source{{Kind: SourceOrigin}})
}

func sourcesOf(requests []Request, chunk int) []Source {
	var sources []Source
	for _, r := range requests {
		if r.Chunk == chunk {
			sources = append(sources, r.Source)
		}
	}
	return sources
}

// TestUnreachableRegionsFallBackToOrigin loses every peer of other regions on
// its first request: the region fetches from the origin after a delay, and
// tries its peers again later.
func TestUnreachableRegionsFallBackToOrigin(t *testing.T) {
	targets := testTargets(8)
	self := NewFetchPlan(testManifest, "r0", 0, targets).Fetchers("r1", 0)[0]
	p := testPicker(Target{ID: self, Region: "r1"}, targets)
	loseRemotePeers := func(now time.Time) (lost int, fallbacks []Request) {
		answerRequests(p, now, func(r Request) {
			if r.Source.Kind != SourceRegionPeer {
				fallbacks = append(fallbacks, r)
				p.Stored(now, r.Chunk, r.Source)
				return
			}
			lost++
			p.PeerDown(now, r.Source.Peer)
		})
		return lost, fallbacks
	}
	lost, fallbacks := loseRemotePeers(testStart)
	assert.Check(t, lost <= 2*unreachableAfterLosses+1, "%d", lost)
	assert.Equal(t, len(fallbacks), 0)
	_, fallbacks = loseRemotePeers(testStart.Add(4 * time.Second))
	assert.Check(t, len(fallbacks) > 0)
	later := testStart.Add(2 * time.Minute)
	for _, r := range p.Next(later) {
		assert.Equal(t, r.Source.Kind, SourceRegionPeer)
	}
}

// Guards against fetchers that go on in the place of others which make progress again: each
// chunk of a region was then fetched by several of them.
func TestSuspectedFetcherThatMakesProgressFetchesItsOwnChunksAgain(t *testing.T) {
	targets := testTargets(4)
	plan := NewFetchPlan(testManifest, "r0", 0, targets)
	order := plan.Fetchers("r0", 0)
	second := testPicker(Target{ID: order[1], Region: "r0"}, targets)
	var ofPrimary []int // The chunks that the primary fetcher of chunk 0 fetches, and this one after it.
	for i := range testChunks {
		if fetchers := plan.Fetchers("r0", i); fetchers[0] == order[0] && fetchers[1] == order[1] {
			ofPrimary = append(ofPrimary, i)
		} else {
			second.Stored(testStart, i, Source{})
		}
	}
	assert.Assert(t, len(ofPrimary) >= 2, "%d chunks", len(ofPrimary))
	for _, id := range order {
		second.PeerUp(testStart, id, nil, 0)
	}
	afterDelay := testStart.Add(4 * time.Second)
	second.cfg.OriginRequests = 1
	taken := second.Next(afterDelay)
	assert.Equal(t, len(taken), 1, "it takes over after the fallback delay")

	second.PeerHas(afterDelay, order[0], ofPrimary[1:2], 0)
	second.Stored(afterDelay, taken[0].Chunk, taken[0].Source)
	for _, r := range second.Next(afterDelay.Add(time.Second)) {
		assert.Equal(t, r.Source.Kind, SourcePeer, "the primary fetcher makes progress again")
	}
}
