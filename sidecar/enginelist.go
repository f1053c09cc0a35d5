package sidecar

import (
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
)

// engineListInterval is the least time between two requests for the engine list: the parts of
// one arrive within some milliseconds of each other.
const engineListInterval = 150 * time.Millisecond

// engineListReceiver asks one entry at a time for the list of engines and assembles it.
type engineListReceiver struct {
	// digest is that of the list in force, 0 for none; provided says that an entry offers it.
	digest   atomic.Uint64
	provided atomic.Bool
	// askedAt is used by the reporter only, parts by the loop that receives datagrams.
	askedAt time.Time
	parts   map[int]loadreport.EngineListPart
}

// chooseProvider returns the entry to ask for the engine list, among those that offer it: one
// in the agent's region if there is one. Agents choose different ones.
func chooseProvider(agent string, entries map[netip.AddrPort]subscriber) (netip.AddrPort, bool) {
	var best netip.AddrPort
	bestScore, found, bestInRegion := uint64(0), false, false
	for addr, entry := range entries {
		if !entry.subscription.OffersEngines {
			continue
		}
		score, inRegion := xxhash.Sum64String(agent+" "+addr.String()), entry.subscription.SameRegion
		if found && (inRegion == bestInRegion && score < bestScore || !inRegion && bestInRegion) {
			continue
		}
		best, bestScore, found, bestInRegion = addr, score, true, inRegion
	}
	return best, found
}

// setProvided records whether an entry offers the list. The list in force no longer counts as
// known without one, since the list may be read from the store meanwhile.
func (l *engineListReceiver) setProvided(provided bool) {
	l.provided.Store(provided)
	if !provided {
		l.digest.Store(0)
	}
}

// ask reports whether a report to the provider asks for the list now.
func (l *engineListReceiver) ask(now time.Time) bool {
	if now.Sub(l.askedAt) < engineListInterval {
		return false
	}
	l.askedAt = now
	return true
}

// add adds a part, and returns the list once all parts of it have arrived.
func (l *engineListReceiver) add(part loadreport.EngineListPart) (loadreport.EngineList, bool, error) {
	for _, other := range l.parts {
		if other.Digest != part.Digest || other.Count != part.Count {
			l.parts = nil
		}
	}
	if l.parts == nil {
		l.parts = make(map[int]loadreport.EngineListPart)
	}
	l.parts[part.Index] = part
	if len(l.parts) < part.Count {
		return loadreport.EngineList{}, false, nil
	}
	ordered := make([]loadreport.EngineListPart, part.Count)
	for index, p := range l.parts {
		ordered[index] = p
	}
	l.parts = nil
	list, err := loadreport.JoinEngineList(ordered)
	return list, err == nil, err
}

// EnginesProvided reports whether an entry provides the list of engines, so that it need not
// be read from the store.
func (r *Reconciler) EnginesProvided() bool {
	return r.engines.provided.Load() && r.engines.digest.Load() != 0
}

// applyEngineListPart applies the engine list of an entry once it is complete.
func (r *Reconciler) applyEngineListPart(data []byte) {
	part, err := loadreport.DecodeEngineListPart(r.config.FleetKey, data)
	if err != nil {
		r.deps.Logger.Warn("engine list rejected", "error", err)
		return
	}
	if part.Digest == r.engines.digest.Load() {
		return
	}
	list, complete, err := r.engines.add(part)
	if err != nil {
		r.deps.Logger.Warn("engine list rejected", "error", err)
		return
	}
	if !complete || list.Service != r.config.Service {
		return
	}
	r.deps.Logger.Info("engine list learnt from an entry", "engines", len(list.Engines), "digest", strconv.FormatUint(part.Digest, 16))
	endpoints := make([]*directory.Endpoint, 0, len(list.Engines))
	listed := make(map[string]bool, len(list.Engines))
	for _, e := range list.Engines {
		listed[e.ID] = true
		endpoints = append(endpoints, &directory.Endpoint{
			ID: e.ID, Service: list.Service, Address: e.Address, FailureDomain: e.FailureDomain, Region: r.config.Regions[e.FailureDomain],
			Slots: e.Slots, Draining: e.Draining, LoadedVersion: e.LoadedVersion, StartedUnixMS: e.StartedUnixMS,
		})
	}
	r.deps.Directory.PutEndpoints(endpoints)
	r.deps.Directory.Retain(time.Now(), listed)
	r.engines.digest.Store(part.Digest)
}
