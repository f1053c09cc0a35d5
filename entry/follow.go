package entry

import (
	"context"

	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/wire"
)

// runStore follows the configuration, and writes the first one where the
// key-value service holds none.
func (e *Entry) runStore(ctx context.Context) {
	e.writeInitial(ctx)
	watch := &duty{
		name:   dutyWatch,
		routes: e.routes,
		task:   e.store.Run,
		idle:   func(ctx context.Context) { _ = e.store.Load(ctx) },
	}
	watch.run(ctx)
}

// writeInitial makes Config.InitialDocument generation 1. Losing the race to
// another entry is fine: one of them is the first.
func (e *Entry) writeInitial(ctx context.Context) {
	if e.cfg.InitialDocument == nil {
		return
	}
	for ctx.Err() == nil {
		if err := e.store.Load(ctx); err != nil {
			delay.For(ctx, campaignPause)
			continue
		}
		if e.held.Generation() > 0 {
			return
		}
		first := e.cfg.InitialDocument.Clone()
		first.Generation = 1
		err := e.store.Commit(ctx, first)
		if err == nil {
			return
		}
		e.deps.Logger.Warn("first configuration not written", "error", err.Error())
		delay.For(ctx, campaignPause)
	}
}

// peerGeneration returns the highest generation that agents have shown.
func (e *Entry) peerGeneration() core.Generation {
	return core.Generation(e.peers.Load())
}

func (e *Entry) serveConfig(st *wire.Stream, r *wire.ConfigRequest) {
	answer, err := configuration.Respond(e.held, r)
	if err != nil {
		e.deps.Logger.Error("configuration cannot be sent", "error", err.Error())
		return
	}
	_ = st.Send(answer)
}

// onAgent takes what an agent's datagram says beside its load.
func (e *Entry) onAgent(d *wire.Datagram) {
	e.quarantine.merge(d.GetStrikes())
	if core.Generation(d.GetGeneration()) <= e.held.Generation() {
		return
	}
	// Only the loop of the routes writes peers.
	e.peers.Store(max(e.peers.Load(), d.GetGeneration()))
	if e.fetching.CompareAndSwap(false, true) {
		go e.fetchFrom(core.InstanceID(d.GetInstance()))
	}
}

// fetchFrom takes a newer configuration from an agent, which matters when the
// key-value service is away or came back older.
func (e *Entry) fetchFrom(agent core.InstanceID) {
	defer e.fetching.Store(false)
	session := e.pool.open(agent)
	if session == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.running, configAskTimeout)
	defer cancel()
	answer := &wire.ConfigResponse{}
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Config{
		Config: &wire.ConfigRequest{Generation: uint64(e.held.Generation())},
	}}, answer)
	if err != nil || len(answer.GetDocument()) == 0 {
		return
	}
	if doc, err := fleet.DecodeDocument(answer.GetDocument()); err == nil {
		e.store.ApplyFromPeer(doc)
	}
}
