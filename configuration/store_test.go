package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

type node struct {
	holder *fleet.DocumentHolder
	store  *configuration.Store
	seen   core.Generation
}

// nodes are entries over one service, with the oracle of what was accepted.
type nodes struct {
	kv       *memoryKeyValue
	all      []*node
	accepted map[core.Generation]string
	refused  map[string]bool
	plans    int
}

func newNodes(count int) *nodes {
	n := &nodes{kv: newMemoryKeyValue(), accepted: make(map[core.Generation]string), refused: make(map[string]bool)}
	for range count {
		n.all = append(n.all, n.newNode())
	}
	return n
}

func (n *nodes) newNode() *node {
	fresh := &node{holder: fleet.NewDocumentHolder()}
	fresh.store = configuration.NewStore(configuration.Config{
		KeyValue:       n.kv,
		Clock:          configuration.Clock{After: instantly},
		Logger:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		PeerGeneration: n.highest,
	}, fresh.holder)
	return fresh
}

func (n *nodes) highest() core.Generation {
	var highest core.Generation
	for _, each := range n.all {
		highest = max(highest, each.holder.Generation())
	}
	return highest
}

func (n *nodes) commit(t assert.TestingT, at *node) {
	n.plans++
	doc := at.holder.Current().Clone()
	doc.Generation++
	doc.Plan = fmt.Sprintf("plan-%d", n.plans)
	err := at.store.Commit(context.Background(), doc)
	var unknown *configuration.CommitUnknownError
	switch {
	case err == nil:
		winner, taken := n.accepted[doc.Generation]
		assert.Assert(t, !taken, "generation %d has winners %s and %s", doc.Generation, winner, doc.Plan)
		n.accepted[doc.Generation] = doc.Plan
	case !errors.As(err, &unknown):
		n.refused[doc.Plan] = true
	}
	var conflict *configuration.GenerationConflictError
	if errors.As(err, &conflict) {
		assert.Assert(t, conflict.WinningPlan != "" && conflict.WinningPlan != doc.Plan)
	}
}

func (n *nodes) check(t assert.TestingT) {
	for _, each := range n.all {
		doc := each.holder.Current()
		assert.Assert(t, doc.Generation >= each.seen, "went back from %d to %d", each.seen, doc.Generation)
		each.seen = doc.Generation
		for _, made := range doc.History {
			assert.Assert(t, !n.refused[made.Plan], "%s was refused and is in force", made.Plan)
			if winner, ok := n.accepted[made.Generation]; ok {
				assert.Equal(t, made.Plan, winner)
			}
		}
	}
}

func TestStatefulConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNodes(rapid.IntRange(1, 4).Draw(t, "nodes"))
		var backup backing.KeyValueEntry
		backedUp := false
		draw := func(t *rapid.T) *node { return rapid.SampledFrom(n.all).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) { n.commit(t, draw(t)) },
			"race": func(t *rapid.T) {
				other := draw(t)
				n.kv.beforeCAS = func() { n.commit(t, other) }
				n.commit(t, draw(t))
				n.kv.beforeCAS = nil
			},
			"load": func(t *rapid.T) { _ = draw(t).store.Load(context.Background()) },
			"faults": func(t *rapid.T) {
				n.kv.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{
					faultNone, faultUnavailable, faultLostBefore, faultLostAfter,
				}), 1, 12).Draw(t, "faults")
			},
			"peer": func(t *rapid.T) { draw(t).store.Offer(draw(t).holder.Current()) },
			"backup": func(*rapid.T) {
				backup, backedUp = n.kv.entries[configuration.DocumentKey]
			},
			"restore": func(*rapid.T) { n.kv.restore(configuration.DocumentKey, backup, backedUp) },
			"replace": func(t *rapid.T) {
				i := rapid.IntRange(0, len(n.all)-1).Draw(t, "replaced")
				old := n.all[i]
				n.all[i] = n.newNode()
				for _, peer := range n.all {
					n.all[i].store.Offer(peer.holder.Current())
				}
				if n.highest() < old.seen {
					n.all[i].store.Offer(old.holder.Current())
				}
			},
			"": func(t *rapid.T) { n.check(t) },
		})
		n.kv.faults = nil
		n.checkConverged(t)
	})
}

func (n *nodes) checkConverged(t *rapid.T) {
	for range 2 {
		for _, each := range n.all {
			assert.NilError(t, each.store.Load(context.Background()))
		}
	}
	n.check(t)
	first := n.all[0].holder.Current()
	for _, each := range n.all {
		assert.Equal(t, each.holder.Current().Digest(), first.Digest())
	}
	for generation := range n.accepted {
		assert.Assert(t, generation <= first.Generation, "accepted generation %d is lost", generation)
	}
}

func TestRunFollowsThroughOutage(t *testing.T) {
	n := newNodes(2)
	n.kv.faults = []fault{faultUnavailable, faultUnavailable, faultNone, faultUnavailable}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	changed := n.all[1].holder.Changed()
	go func() {
		n.all[1].store.Run(ctx)
		close(done)
	}()
	doc := n.all[0].holder.Current().Clone()
	doc.Generation, doc.Plan = 1, "p"
	for n.all[0].store.Commit(ctx, doc) != nil {
		continue
	}
	<-changed
	assert.Equal(t, n.all[1].holder.Generation(), core.Generation(1))
	cancel()
	<-done
}

func TestRunWritesForwardWhatPeersHold(t *testing.T) {
	n := newNodes(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.all[0].store.Run(ctx)
	n.all[0].store.Offer(&fleet.Document{Generation: 7})
	entry, err := n.kv.Watch(ctx, configuration.DocumentKey, 0)
	assert.NilError(t, err)
	doc, err := fleet.DecodeDocument(entry.Value)
	assert.NilError(t, err)
	assert.Equal(t, doc.Generation, core.Generation(7))
}

func TestUnreadableDocumentIsKept(t *testing.T) {
	n := newNodes(1)
	_, err := n.kv.CompareAndSwap(context.Background(), configuration.DocumentKey, 0, []byte("{"), 0)
	assert.NilError(t, err)
	n.commit(t, n.all[0])
	assert.Equal(t, len(n.accepted), 0)
	entry, err := n.kv.Get(context.Background(), configuration.DocumentKey)
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "{")
}

func TestDivergedGenerationIsOverruled(t *testing.T) {
	n := newNodes(2)
	held := &fleet.Document{Generation: 3, Plan: "held"}
	assert.Equal(t, n.all[0].store.Offer(held), fleet.Applied)
	assert.NilError(t, n.all[1].store.Load(context.Background()))
	other, err := (&fleet.Document{Generation: 3, Plan: "other"}).Encode()
	assert.NilError(t, err)
	_, err = n.kv.CompareAndSwap(context.Background(), configuration.DocumentKey, 0, other, 0)
	assert.NilError(t, err)
	assert.NilError(t, n.all[0].store.Load(context.Background()))
	assert.NilError(t, n.all[1].store.Load(context.Background()))
	assert.Equal(t, n.all[1].holder.Generation(), core.Generation(4))
	assert.Equal(t, n.all[1].holder.Current().Plan, "held")
}
