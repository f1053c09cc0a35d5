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
	configRequestTimeout = 2 * time.Second
	configRetryDelay     = 100 * time.Millisecond
)

// configSync fetches the configuration when a datagram shows that an entry has
// a higher generation. A lower one is never applied.
type configSync struct {
	entries   *entryTable
	documents *fleet.DocumentHolder
	sched     *scheduler
	logger    *slog.Logger
	// onApply tells the entries that the agent has a new generation; some learn of
	// it only from agents.
	onApply      func()
	observations chan generationObservation
}

// generationObservation is the generation that an entry's datagram reports.
type generationObservation struct {
	entry      core.InstanceID
	generation core.Generation
}

// observe queues the generation of an entry if it is newer. It never blocks; a
// dropped observation recurs with the next datagram.
func (c *configSync) observe(o generationObservation) {
	if o.generation <= c.documents.Generation() {
		return
	}
	select {
	case c.observations <- o:
	default:
	}
}

// run fetches newer documents until ctx ends.
func (c *configSync) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.observations:
			if o.generation > c.documents.Generation() {
				c.fetch(ctx, o)
			}
		}
	}
}

func (c *configSync) fetch(ctx context.Context, o generationObservation) {
	if err := c.fetchOnce(ctx, o.entry); err != nil {
		c.logger.Warn("fetching the configuration failed", "entry", o.entry, "generation", o.generation, "error", err.Error())
		delay.For(ctx, configRetryDelay)
	}
}

func (c *configSync) fetchOnce(ctx context.Context, entry core.InstanceID) error {
	session, err := c.entries.session(entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, configRequestTimeout)
	defer cancel()
	response := &wire.ConfigResponse{}
	err = session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Config{
		Config: &wire.ConfigRequest{Generation: uint64(c.documents.Generation())},
	}}, response)
	if err != nil || len(response.GetDocument()) == 0 {
		return err
	}
	doc, err := fleet.DecodeDocument(response.GetDocument())
	if err != nil {
		return err
	}
	c.apply(doc)
	return nil
}

func (c *configSync) apply(doc *fleet.Document) {
	if c.documents.Apply(doc) == fleet.Applied {
		c.sched.post(policyEvent{policies: queuePolicies(doc)})
		c.onApply()
	}
}

// queuePolicies returns the queue policies of a document by rank.
func queuePolicies(doc *fleet.Document) routing.Policies {
	var policies routing.Policies
	for _, r := range doc.Ranks {
		policies[r.Rank] = routing.PolicyOf(r)
	}
	return policies
}
