package entry

import (
	"context"

	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/wire"
)

// followConfiguration keeps the configuration current until ctx ends. It first
// writes the initial document if the key-value service holds none.
func (e *Entry) followConfiguration(ctx context.Context) {
	e.writeInitialDocument(ctx)
	watchTask := &assignedTask{
		name:            taskWatchConfiguration,
		routes:          e.routes,
		task:            e.store.Run,
		whileUnassigned: func(ctx context.Context) { _ = e.store.Load(ctx) },
	}
	watchTask.run(ctx)
}

// writeInitialDocument commits Config.InitialDocument as generation 1. Entries
// may race to do so; one of them wins.
func (e *Entry) writeInitialDocument(ctx context.Context) {
	if e.cfg.InitialDocument == nil {
		return
	}
	for ctx.Err() == nil {
		if err := e.store.Load(ctx); err != nil {
			delay.For(ctx, storeRetryPause)
			continue
		}
		if e.documents.Generation() > 0 {
			return
		}
		first := e.cfg.InitialDocument.Clone()
		first.Generation = 1
		err := e.store.Commit(ctx, first)
		if err == nil {
			return
		}
		e.deps.Logger.Warn("initial configuration not written, retrying", "error", err.Error())
		delay.For(ctx, storeRetryPause)
	}
}

// peerGeneration returns the highest generation that agents have announced.
func (e *Entry) peerGeneration() core.Generation {
	return core.Generation(e.highestPeerGeneration.Load())
}

func (e *Entry) serveConfig(stream *wire.Stream, r *wire.ConfigRequest) {
	response, err := configuration.Respond(e.documents, r)
	if err != nil {
		e.deps.Logger.Error("encoding the configuration for an agent failed", "error", err.Error())
		return
	}
	_ = stream.Send(response)
}

// handleAgentDatagram handles the strikes and the generation in an agent's
// datagram.
func (e *Entry) handleAgentDatagram(datagram *wire.Datagram) {
	e.quarantine.mergeStrikes(datagram.GetStrikes())
	if core.Generation(datagram.GetGeneration()) <= e.documents.Generation() {
		return
	}
	// Only the goroutine of routes.run writes highestPeerGeneration.
	e.highestPeerGeneration.Store(max(e.highestPeerGeneration.Load(), datagram.GetGeneration()))
	if e.fetchingDocument.CompareAndSwap(false, true) {
		go e.fetchDocument(core.InstanceID(datagram.GetInstance()))
	}
}

// fetchDocument fetches a newer configuration from an agent. This is needed when
// the key-value service is unavailable or was restored from an older state.
func (e *Entry) fetchDocument(agent core.InstanceID) {
	defer e.fetchingDocument.Store(false)
	session := e.pool.lookup(agent)
	if session == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.runCtx, configRequestTimeout)
	defer cancel()
	response := &wire.ConfigResponse{}
	err := session.Request(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Config{
		Config: &wire.ConfigRequest{Generation: uint64(e.documents.Generation())},
	}}, response)
	if err != nil || len(response.GetDocument()) == 0 {
		return
	}
	if doc, err := fleet.DecodeDocument(response.GetDocument()); err == nil {
		e.store.ApplyFromPeer(doc)
	}
}
