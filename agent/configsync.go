package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

const (
	configAskTimeout = 2 * time.Second
	configRetry      = 100 * time.Millisecond
)

// configSync fetches the configuration when a datagram shows that an entry
// holds a higher generation. A lower one is never applied.
type configSync struct {
	entries *entryTable
	held    *fleet.DocumentHolder
	sched   *scheduler
	logger  *slog.Logger
	// applied tells the entries that a new generation is held here; some
	// learn it only from agents.
	applied func()
	// seen carries generations with the entry that showed them.
	seen chan sighting
}

// sighting is a generation that an entry holds.
type sighting struct {
	entry      core.InstanceID
	generation core.Generation
}

// saw notes the generation of an entry. It never blocks; a sighting lost here
// comes again with the next datagram.
func (c *configSync) saw(s sighting) {
	if s.generation <= c.held.Generation() {
		return
	}
	select {
	case c.seen <- s:
	default:
	}
}

// run fetches newer documents until ctx ends.
func (c *configSync) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-c.seen:
			if s.generation > c.held.Generation() {
				c.fetch(ctx, s)
			}
		}
	}
}

func (c *configSync) fetch(ctx context.Context, s sighting) {
	if err := c.ask(ctx, s.entry); err != nil {
		c.logger.Warn("configuration not fetched", "entry", s.entry, "generation", s.generation, "error", err.Error())
		delay.For(ctx, configRetry)
	}
}

func (c *configSync) ask(ctx context.Context, entry core.InstanceID) error {
	session, err := c.entries.session(entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, configAskTimeout)
	defer cancel()
	answer := &wire.ConfigResponse{}
	err = session.Ask(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Config{
		Config: &wire.ConfigRequest{Generation: uint64(c.held.Generation())},
	}}, answer)
	if err != nil || len(answer.GetDocument()) == 0 {
		return err
	}
	doc, err := fleet.DecodeDocument(answer.GetDocument())
	if err != nil {
		return err
	}
	c.apply(doc)
	return nil
}

func (c *configSync) apply(doc *fleet.Document) {
	if c.held.Apply(doc) == fleet.Applied {
		c.sched.post(policyEvent{policies: queuePolicies(doc)})
		c.applied()
	}
}

// queuePolicies returns the queue's policy of a document.
func queuePolicies(doc *fleet.Document) routing.Policies {
	var policies routing.Policies
	for _, r := range doc.Ranks {
		policies[r.Rank] = routing.PolicyOf(r)
	}
	return policies
}
