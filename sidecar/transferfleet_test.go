package sidecar

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
)

// The fleet of the transfer tests: the largest known deployment.
const (
	fleetRegions        = 5
	fleetAgentsInRegion = 22
	fleetChunks         = 64
	fleetChunkBytes     = 32 << 10
	// Rates in bytes per second.
	fleetOriginRate = 742_500
	fleetAgentRate  = 950_000
	// One-way delays.
	fleetRegionDelay = 4200 * time.Microsecond
	fleetLocalDelay  = 1400 * time.Microsecond
	fleetTick        = 50 * time.Millisecond
	// fleetPendingTimeout is how long an agent keeps a request of another region for a chunk
	// that it lacks.
	fleetPendingTimeout = time.Second
)

// transferFleet plays the transfers of one version at all agents in virtual time, with the
// agents' own pickers, upload limits and pacing, but without a network. Links are queues.
type transferFleet struct {
	now    time.Time
	events fleetEvents
	seq    int
	agents map[core.InstanceID]*fleetAgent
	order  []*fleetAgent
	// complete counts the agents that have all chunks.
	complete int

	// originDown reports whether the origin refuses connections, at a time since the start.
	originDown   func(time.Duration) bool
	originFreeAt time.Time
	// originChunks counts the chunks that the origin sent, by index.
	originChunks map[int]int
	start        time.Time
}

// fleetAgent is one agent of a transferFleet.
type fleetAgent struct {
	fleet    *transferFleet
	target   weights.Target
	config   weights.PickerConfig
	targets  []weights.Target
	picker   *weights.Picker // nil before the agent has started.
	uploads  *weights.UploadAdmission
	have     weights.Bitmap
	count    int
	watchers map[core.InstanceID]bool
	watching map[core.InstanceID]bool
	// upFreeAt and downFreeAt are when the two directions of the link are free.
	upFreeAt, downFreeAt time.Time
	// pending holds the requests of other regions for chunks that are not there yet.
	pending map[int][]*fleetAgent
}

type fleetEvent struct {
	at  time.Time
	seq int
	run func()
}

// fleetEvents is a heap of events by time.
type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *fleetEvents) Push(x any) { *e = append(*e, x.(fleetEvent)) }

// Pop implements heap.Interface.
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newTransferFleet(seed uint64, originDown func(time.Duration) bool) *transferFleet {
	start := time.Unix(1000, 0)
	f := &transferFleet{now: start, start: start, agents: make(map[core.InstanceID]*fleetAgent), originDown: originDown, originChunks: make(map[int]int)}
	var targets []weights.Target
	for region := range fleetRegions {
		for i := range fleetAgentsInRegion {
			targets = append(targets, weights.Target{ID: core.InstanceID(fmt.Sprintf("10.%d.0.%d", region, i)), Region: fmt.Sprint("r", region)})
		}
	}
	manifest := core.SumDigest([]byte(fmt.Sprint("manifest ", seed)))
	for _, target := range targets {
		config := pickerConfig()
		config.Self, config.Manifest, config.Chunks, config.Seed = target, manifest, fleetChunks, seed
		a := &fleetAgent{
			fleet: f, target: target, config: config, targets: targets,
			uploads:  weights.NewUploadAdmission(weights.UploadLimits{Concurrency: maxUploads}, fleetChunks),
			have:     weights.NewBitmap(fleetChunks),
			watchers: make(map[core.InstanceID]bool), watching: make(map[core.InstanceID]bool), pending: make(map[int][]*fleetAgent),
		}
		f.agents[target.ID] = a
		f.order = append(f.order, a)
	}
	return f
}

// after runs an action after a delay.
func (f *transferFleet) after(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, fleetEvent{at: f.now.Add(delay), seq: f.seq, run: run})
}

// run starts all agents, and plays until all have all chunks or limit has passed. Each starts
// as late as startDelay says.
func (f *transferFleet) run(limit time.Duration, startDelay func(i int) time.Duration) {
	for i, a := range f.order {
		f.after(startDelay(i), func() {
			a.picker = weights.NewPicker(a.config, f.now)
			a.picker.SetTargets(f.now, a.targets)
			a.tick()
		})
	}
	for len(f.events) > 0 && f.incomplete() > 0 {
		next := heap.Pop(&f.events).(fleetEvent)
		if next.at.Sub(f.start) > limit {
			return
		}
		f.now = next.at
		next.run()
	}
}

// originCopies returns how many chunks the origin sent, in copies of the version.
func (f *transferFleet) originCopies() float64 {
	sent := 0
	for _, count := range f.originChunks {
		sent += count
	}
	return float64(sent) / fleetChunks
}

// incomplete returns how many agents lack chunks.
func (f *transferFleet) incomplete() int {
	return len(f.order) - f.complete
}

// tick maintains the connections and sends due requests, again and again.
func (a *fleetAgent) tick() {
	a.fleet.after(fleetTick, a.tick)
	for _, id := range a.picker.Neighbours(a.fleet.now) {
		peer := a.fleet.agents[id]
		if peer.picker == nil {
			continue
		}
		if !a.watching[id] {
			a.watching[id] = true
			a.fleet.after(4*fleetLocalDelay, func() {
				peer.watchers[a.target.ID] = true
				a.picker.PeerUp(a.fleet.now, id, peer.have, peer.uploads.Served())
				a.request()
			})
		}
	}
	a.request()
}

// request sends the requests that the picker decides on.
func (a *fleetAgent) request() {
	if a.count == fleetChunks {
		return
	}
	for _, r := range a.picker.Next(a.fleet.now) {
		switch r.Source.Kind {
		case weights.SourceOrigin:
			a.requestFromOrigin(r)
		case weights.SourceStore:
			a.fail(0, r, weights.FailureUnavailable)
		default:
			peer := a.fleet.agents[r.Source.Peer]
			a.fleet.after(a.delayTo(peer), func() { peer.serve(a, r) })
		}
	}
}

func (a *fleetAgent) delayTo(peer *fleetAgent) time.Duration {
	if a.target.Region != peer.target.Region {
		return fleetRegionDelay
	}
	return fleetLocalDelay
}

// transferTime is the time of a chunk on a link.
func transferTime(bytesPerSecond float64) time.Duration {
	return time.Duration(fleetChunkBytes / bytesPerSecond * float64(time.Second))
}

// occupy queues one chunk on a link and returns when it has passed.
func (f *transferFleet) occupy(freeAt *time.Time, bytesPerSecond float64) time.Time {
	if freeAt.Before(f.now) {
		*freeAt = f.now
	}
	*freeAt = freeAt.Add(transferTime(bytesPerSecond))
	return *freeAt
}

func (a *fleetAgent) requestFromOrigin(r weights.Request) {
	f := a.fleet
	if f.originDown(f.now.Sub(f.start)) {
		a.fail(2*fleetRegionDelay, r, weights.FailureUnavailable)
		return
	}
	f.originChunks[r.Chunk]++
	sentAt := f.occupy(&f.originFreeAt, fleetOriginRate)
	if sentAt.Sub(f.now) > sourceTimeout || f.originDown(sentAt.Sub(f.start)) {
		a.fail(min(sentAt.Sub(f.now), sourceTimeout), r, weights.FailureUnavailable)
		return
	}
	f.after(sentAt.Sub(f.now)+2*fleetRegionDelay, func() { a.receive(r) })
}

func (a *fleetAgent) fail(delay time.Duration, r weights.Request, failure weights.Failure) {
	a.fleet.after(delay, func() {
		a.picker.Failed(a.fleet.now, r.Chunk, r.Source, failure, 0)
		a.request()
	})
}

// serve handles the request of another agent.
func (a *fleetAgent) serve(to *fleetAgent, r weights.Request) {
	f := a.fleet
	priority := weights.UploadNormal
	if r.Source.Kind == weights.SourceRegionPeer {
		priority = weights.UploadRegion
	} else if r.Urgent {
		priority = weights.UploadUrgent
	}
	if !a.have.Has(r.Chunk) {
		if priority != weights.UploadRegion {
			to.fail(a.delayTo(to), r, weights.FailureMissing)
			return
		}
		a.holdUntilStored(to, r)
		return
	}
	if a.uploads.Admit(f.now, r.Chunk, a.count, priority) != weights.UploadServe {
		to.fail(a.delayTo(to), r, weights.FailureRefused)
		return
	}
	sentAt := f.occupy(&a.upFreeAt, busySendShare*fleetAgentRate)
	f.after(sentAt.Sub(f.now), func() {
		a.uploads.Done(1)
		f.after(a.delayTo(to), func() {
			receivedAt := f.occupy(&to.downFreeAt, busyReceiveShare*fleetAgentRate)
			f.after(receivedAt.Sub(f.now), func() { to.receive(r) })
		})
	})
}

// holdUntilStored keeps a request for a chunk that is not there yet.
func (a *fleetAgent) holdUntilStored(to *fleetAgent, r weights.Request) {
	a.pending[r.Chunk] = append(a.pending[r.Chunk], to)
	a.fleet.after(fleetPendingTimeout, func() {
		if index := slices.Index(a.pending[r.Chunk], to); index >= 0 {
			a.pending[r.Chunk] = slices.Delete(a.pending[r.Chunk], index, index+1)
			to.fail(a.delayTo(to), r, weights.FailureMissing)
		}
	})
}

// receive stores a chunk and announces it.
func (a *fleetAgent) receive(r weights.Request) {
	f := a.fleet
	a.picker.Stored(f.now, r.Chunk, r.Source)
	if a.have.Add(r.Chunk) {
		a.count++
		if r.Source.Kind != weights.SourcePeer {
			a.uploads.MarkImported(r.Chunk)
		}
		if a.count == fleetChunks {
			f.complete++
		}
		a.announce(r.Chunk)
	}
	a.request()
}

func (a *fleetAgent) announce(chunk int) {
	f := a.fleet
	for _, waiting := range a.pending[chunk] {
		a.serve(waiting, weights.Request{Chunk: chunk, Source: weights.Source{Kind: weights.SourceRegionPeer, Peer: a.target.ID}})
	}
	delete(a.pending, chunk)
	for _, peer := range f.order {
		if a.watchers[peer.target.ID] {
			f.after(haveAnnounceDelay+fleetLocalDelay, func() {
				peer.picker.PeerHas(f.now, a.target.ID, []int{chunk}, a.uploads.Served())
				peer.request()
			})
		}
	}
}

const (
	// maxOriginCopies bounds what the origin sends of one version.
	maxOriginCopies = 2.0
	// shortestVersionBound is the shortest bound on a version of all known deployments.
	shortestVersionBound = 8 * time.Second
	outageOfOrigin       = 6 * time.Second
)

// staggered starts agents as they read the manifest of a new version: one after the other.
func staggered(i int) time.Duration {
	const agents = fleetRegions * fleetAgentsInRegion
	return manifestReadInterval * time.Duration((i*37)%agents)
}

// Guards against a fleet whose agents all fetch the same chunks once the origin returns: they
// ask for more than its link carries in time, and the version arrives nowhere.
func TestChunksAreFetchedOnceWhenTheOriginReturns(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		for _, downFrom := range []time.Duration{time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("seed %d, down from %v", seed, downFrom), func(t *testing.T) {
				t.Parallel()
				f := newTransferFleet(seed, func(d time.Duration) bool { return d >= downFrom && d < downFrom+outageOfOrigin })
				f.run(shortestVersionBound+outageOfOrigin, staggered)
				assert.Check(t, f.incomplete() == 0, "%d agents lack chunks", f.incomplete())
				assert.Check(t, f.originCopies() <= maxOriginCopies, "the origin sent %.1f copies", f.originCopies())
			})
		}
	}
}

// Guards against a version that takes longer than its bound to reach a fleet of five regions
// although the origin could have sent it almost three times.
func TestVersionReachesFiveRegionsWithinItsBound(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := newTransferFleet(seed, func(time.Duration) bool { return false })
			f.run(shortestVersionBound, staggered)
			assert.Check(t, f.incomplete() == 0, "%d agents lack chunks", f.incomplete())
		})
	}
}
