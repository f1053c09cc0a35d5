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
	holder         *fleet.DocumentHolder
	store          *configuration.Store
	lastGeneration core.Generation
}

// cluster is a set of nodes that share one key-value service, with the outcome of
// their commits.
type cluster struct {
	kv               *memoryKeyValue
	nodes            []*node
	planByGeneration map[core.Generation]string
	refusedPlans     map[string]bool
	lastPlan         int
}

func newCluster(count int) *cluster {
	c := &cluster{kv: newMemoryKeyValue(), planByGeneration: make(map[core.Generation]string), refusedPlans: make(map[string]bool)}
	for range count {
		c.nodes = append(c.nodes, c.newNode())
	}
	return c
}

func (c *cluster) newNode() *node {
	created := &node{holder: fleet.NewDocumentHolder()}
	created.store = configuration.NewStore(configuration.Config{
		KeyValue:       c.kv,
		Clock:          configuration.Clock{After: fireAtOnce},
		Logger:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		PeerGeneration: c.highestGeneration,
	}, created.holder)
	return created
}

func (c *cluster) highestGeneration() core.Generation {
	var highest core.Generation
	for _, member := range c.nodes {
		highest = max(highest, member.holder.Generation())
	}
	return highest
}

func (c *cluster) commit(t assert.TestingT, proposer *node) {
	c.lastPlan++
	doc := proposer.holder.Current().Clone()
	doc.Generation++
	doc.Plan = fmt.Sprintf("plan-%d", c.lastPlan)
	err := proposer.store.Commit(context.Background(), doc)
	var unknown *configuration.CommitUnknownError
	switch {
	case err == nil:
		winner, taken := c.planByGeneration[doc.Generation]
		assert.Assert(t, !taken, "generation %d has winners %s and %s", doc.Generation, winner, doc.Plan)
		c.planByGeneration[doc.Generation] = doc.Plan
	case !errors.As(err, &unknown):
		c.refusedPlans[doc.Plan] = true
	}
	var conflict *configuration.GenerationConflictError
	if errors.As(err, &conflict) {
		assert.Assert(t, conflict.WinningPlan != "" && conflict.WinningPlan != doc.Plan)
	}
}

func (c *cluster) check(t assert.TestingT) {
	for _, member := range c.nodes {
		doc := member.holder.Current()
		assert.Assert(t, doc.Generation >= member.lastGeneration, "generation went back from %d to %d", member.lastGeneration, doc.Generation)
		member.lastGeneration = doc.Generation
		for _, entry := range doc.History {
			assert.Assert(t, !c.refusedPlans[entry.Plan], "%s was refused and is in force", entry.Plan)
			if winner, ok := c.planByGeneration[entry.Generation]; ok {
				assert.Equal(t, entry.Plan, winner)
			}
		}
	}
}

func TestStatefulConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 4).Draw(t, "nodes"))
		var backup backing.KeyValueEntry
		backedUp := false
		drawNode := func(t *rapid.T) *node { return rapid.SampledFrom(c.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) { c.commit(t, drawNode(t)) },
			"race": func(t *rapid.T) {
				other := drawNode(t)
				c.kv.beforeCAS = func() { c.commit(t, other) }
				c.commit(t, drawNode(t))
				c.kv.beforeCAS = nil
			},
			"load": func(t *rapid.T) { _ = drawNode(t).store.Load(context.Background()) },
			"faults": func(t *rapid.T) {
				c.kv.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{
					faultNone, faultUnavailable, faultLostRequest, faultLostResponse,
				}), 1, 12).Draw(t, "faults")
			},
			"peer": func(t *rapid.T) { drawNode(t).store.ApplyFromPeer(drawNode(t).holder.Current()) },
			"backup": func(*rapid.T) {
				backup, backedUp = c.kv.entries[configuration.DocumentKey]
			},
			"restore": func(*rapid.T) { c.kv.restore(configuration.DocumentKey, backup, backedUp) },
			"replace": func(t *rapid.T) {
				replaced := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "replaced")
				old := c.nodes[replaced]
				c.nodes[replaced] = c.newNode()
				for _, peer := range c.nodes {
					c.nodes[replaced].store.ApplyFromPeer(peer.holder.Current())
				}
				if c.highestGeneration() < old.lastGeneration {
					c.nodes[replaced].store.ApplyFromPeer(old.holder.Current())
				}
			},
			"": func(t *rapid.T) { c.check(t) },
		})
		c.kv.faults = nil
		c.checkConverged(t)
	})
}

func (c *cluster) checkConverged(t *rapid.T) {
	for range 2 {
		for _, member := range c.nodes {
			assert.NilError(t, member.store.Load(context.Background()))
		}
	}
	c.check(t)
	first := c.nodes[0].holder.Current()
	for _, member := range c.nodes {
		assert.Equal(t, member.holder.Current().Digest(), first.Digest())
	}
	for generation := range c.planByGeneration {
		assert.Assert(t, generation <= first.Generation, "accepted generation %d is lost", generation)
	}
}

func TestRunSynchronisesThroughOutage(t *testing.T) {
	c := newCluster(2)
	c.kv.faults = []fault{faultUnavailable, faultUnavailable, faultNone, faultUnavailable}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	changed := c.nodes[1].holder.Changed()
	go func() {
		c.nodes[1].store.Run(ctx)
		close(done)
	}()
	doc := c.nodes[0].holder.Current().Clone()
	doc.Generation, doc.Plan = 1, "p"
	for c.nodes[0].store.Commit(ctx, doc) != nil {
		continue
	}
	<-changed
	assert.Equal(t, c.nodes[1].holder.Generation(), core.Generation(1))
	cancel()
	<-done
}

func TestRunStoresDocumentFromPeer(t *testing.T) {
	c := newCluster(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.nodes[0].store.Run(ctx)
	c.nodes[0].store.ApplyFromPeer(&fleet.Document{Generation: 7})
	entry, err := c.kv.Watch(ctx, configuration.DocumentKey, 0)
	assert.NilError(t, err)
	doc, err := fleet.DecodeDocument(entry.Value)
	assert.NilError(t, err)
	assert.Equal(t, doc.Generation, core.Generation(7))
}

func TestUnreadableDocumentIsKept(t *testing.T) {
	c := newCluster(1)
	_, err := c.kv.CompareAndSwap(context.Background(), configuration.DocumentKey, 0, []byte("{"), 0)
	assert.NilError(t, err)
	c.commit(t, c.nodes[0])
	assert.Equal(t, len(c.planByGeneration), 0)
	entry, err := c.kv.Get(context.Background(), configuration.DocumentKey)
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "{")
}

func TestDivergedGenerationIsOverruled(t *testing.T) {
	c := newCluster(2)
	heldDocument := &fleet.Document{Generation: 3, Plan: "held"}
	assert.Equal(t, c.nodes[0].store.ApplyFromPeer(heldDocument), fleet.Applied)
	assert.NilError(t, c.nodes[1].store.Load(context.Background()))
	otherDocument, err := (&fleet.Document{Generation: 3, Plan: "other"}).Encode()
	assert.NilError(t, err)
	_, err = c.kv.CompareAndSwap(context.Background(), configuration.DocumentKey, 0, otherDocument, 0)
	assert.NilError(t, err)
	assert.NilError(t, c.nodes[0].store.Load(context.Background()))
	assert.NilError(t, c.nodes[1].store.Load(context.Background()))
	assert.Equal(t, c.nodes[1].holder.Generation(), core.Generation(4))
	assert.Equal(t, c.nodes[1].holder.Current().Plan, "held")
}

// Guards against a commit that loses a race and is refused as if the service had fallen
// behind, because a peer announces the winner between the read and the comparison.
func TestCommitThatLosesARaceNamesTheWinner(t *testing.T) {
	c := newCluster(1)
	loser := &node{holder: fleet.NewDocumentHolder()}
	winnerCommitted := false
	loser.store = configuration.NewStore(configuration.Config{
		KeyValue: c.kv,
		Clock:    configuration.Clock{After: fireAtOnce},
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		PeerGeneration: func() core.Generation {
			if !winnerCommitted {
				winnerCommitted = true
				c.commit(t, c.nodes[0])
			}
			return c.highestGeneration()
		},
	}, loser.holder)
	doc := loser.holder.Current().Clone()
	doc.Generation++
	doc.Plan = "loser"
	var conflict *configuration.GenerationConflictError
	err := loser.store.Commit(t.Context(), doc)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.WinningPlan, "plan-1")
}
