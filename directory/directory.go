package directory

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/internal/bootclock"
)

// missingGrace is how long after an outage of the store an endpoint that is missing
// from the endpoint list stays in use: records that expired during the outage are
// written again within 2 s of its end.
const missingGrace = 2 * time.Second

// minOutage is the shortest outage of the store after which endpoints may be missing that are alive.
// A record expires after three check-in intervals without one, of 1.2 s on all known
// deployments. A shorter gap is that of a watch that was cut, as the store may at any time, and drops none.
const minOutage = time.Second

// Directory holds the current View. Reads take no lock. Writers are serialised
// by mu. Subscribers are called while mu is locked, and must neither block nor call
// the Directory.
type Directory struct {
	logger  *slog.Logger
	current atomic.Pointer[View]

	mu          sync.Mutex
	subscribers []func(*View)
	uptime      storeUptime
	// downSince is since when the store may have been away, while StoreUp is not set.
	downSince time.Time
	// storeAnsweredAt and storeAwayUntil bound the times of versions that reports name
	// before the store does.
	storeAnsweredAt time.Time
	storeAwayUntil  time.Time
	// missing holds the IDs of endpoints that are missing from the endpoint list
	// since an outage of the store, with the uptime of the store at the end of that
	// outage. They are kept for missingGrace of uptime: further outages interrupt the
	// grace period and do not restart it.
	missing map[string]time.Duration
	drained *drainedIncarnations
}

// New returns a directory with an empty view.
func New(logger *slog.Logger) *Directory {
	d := &Directory{logger: logger, missing: make(map[string]time.Duration), drained: newDrainedIncarnations()}
	d.current.Store(&View{Endpoints: map[string]*Endpoint{}, DeclaredVersions: map[string]DeclaredVersion{}, StoreUp: true})
	return d
}

// View returns the current view.
func (d *Directory) View() *View {
	return d.current.Load()
}

// Subscribe calls notify with the current view and with each later one.
func (d *Directory) Subscribe(notify func(*View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, notify)
	notify(d.current.Load())
}

// update publishes a modified copy of the view. The caller holds d.mu.
func (d *Directory) update(mutate func(*View)) {
	next := *d.current.Load()
	mutate(&next)
	next.latest = sync.OnceValue(func() []*Endpoint { return latestEndpoints(next.Endpoints) })
	d.current.Store(&next)
	for _, notify := range d.subscribers {
		notify(&next)
	}
}

// SetDocument replaces the current document by a newer one. Other versions are
// ignored.
func (d *Directory) SetDocument(doc *Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.current.Load().Document; old != nil && old.Version >= doc.Version {
		return
	}
	d.logger.Info("document in force", "version", doc.Version, "services", len(doc.Services), "keys", len(doc.OrganisationByKey))
	d.update(func(v *View) { v.Document = doc })
}

// SetInitialVersion records a version of a model that the first read of the store names.
// Until another process reports when it was declared, it is taken to be assumedAge old.
func (d *Directory) SetInitialVersion(readAt time.Time, model string, version uint64, assumedAge time.Duration) {
	d.SetDeclaration(model, Declaration{Version: version, NotAfter: readAt, GuessedAt: readAt.Add(-assumedAge)})
}

// SetDeclaration records a version of a model that this process reads from the store for
// the first time. It may be known from reports of others.
func (d *Directory) SetDeclaration(model string, declaration Declaration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.current.Load().DeclaredVersions[model].find(declaration.Version)
	if !found {
		d.addDeclaration(model, declaration)
		return
	}
	d.refineDeclaration(model, known.intersect(declaration))
}

// MergeDeclaration merges a declaration reported by another process. It takes effect
// if the version is unknown here and recent enough to be kept, or if it narrows the
// bounds of its time. Superseded versions are merged too.
func (d *Directory) MergeDeclaration(model string, reported Declaration) {
	if reported.Version <= FirstVersion || !d.View().DeclaredVersions[model].improvedBy(reported) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	declared := d.current.Load().DeclaredVersions[model]
	if !declared.improvedBy(reported) {
		return
	}
	if known, found := declared.find(reported.Version); found {
		d.refineDeclaration(model, known.intersect(reported))
		return
	}
	reported.StoreAwayUntil = d.storeAwayUntil
	if reported.Version > declared.Version {
		reported = reported.intersect(Declaration{NotBefore: d.storeAnsweredAt, NotAfter: reported.NotAfter})
	}
	d.addDeclaration(model, reported)
}

// SetStoreContact records a time at which the store had no versions but those that were
// set, zero before its first answer, and the start of the last failed call of a present
// outage, zero without one.
func (d *Directory) SetStoreContact(answeredAt, awayUntil time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeAnsweredAt = answeredAt
	d.storeAwayUntil = awayUntil
}

// refineDeclaration replaces the bounds of a version that is known. The caller holds
// d.mu.
func (d *Directory) refineDeclaration(model string, refined Declaration) {
	if known, _ := d.current.Load().DeclaredVersions[model].find(refined.Version); known == refined {
		return
	}
	fields := []any{"model", model, "version", refined.Version}
	d.logger.Info("age of a declared version learnt", append(fields, refined.LogFields(bootclock.Now())...)...)
	d.replaceDeclaredVersion(model, d.current.Load().DeclaredVersions[model].with(refined))
}

// addDeclaration adds the declaration of a version that is not known yet. The caller
// holds d.mu.
func (d *Directory) addDeclaration(model string, added Declaration) {
	known, declaredBefore := d.current.Load().DeclaredVersions[model]
	next := DeclaredVersion{Declaration: added}
	if declaredBefore {
		next = known.with(added)
	}
	message := "version declared"
	if next.Version != added.Version {
		message = "superseded version learnt"
	}
	fields := []any{"model", model, "version", added.Version, "previous", next.Previous().Version, "newest", next.Version}
	d.logger.Info(message, append(fields, added.LogFields(bootclock.Now())...)...)
	d.replaceDeclaredVersion(model, next)
}

// replaceDeclaredVersion replaces the declared version of a model. The caller holds
// d.mu.
func (d *Directory) replaceDeclaredVersion(model string, replacement DeclaredVersion) {
	d.update(func(v *View) {
		v.DeclaredVersions = maps.Clone(v.DeclaredVersions)
		v.DeclaredVersions[model] = replacement
	})
}

// PutEndpoint adds or replaces an endpoint. An incarnation that was draining stays so.
func (d *Directory) PutEndpoint(e *Endpoint) {
	d.PutEndpoints([]*Endpoint{e})
}

// PutEndpoints adds or replaces endpoints, and publishes them with one view: each view costs
// its subscribers as much as the whole list.
func (d *Directory) PutEndpoints(endpoints []*Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*Endpoint
	for _, e := range endpoints {
		delete(d.missing, e.ID)
		e = d.drained.apply(e)
		old := d.current.Load().Endpoints[e.ID]
		if old != nil && *old == *e {
			continue
		}
		if old == nil || old.Draining != e.Draining || old.LoadedVersion != e.LoadedVersion {
			d.logger.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "draining", e.Draining, "held", e.LoadedVersion)
		}
		changed = append(changed, e)
	}
	if len(changed) == 0 {
		return
	}
	d.update(func(v *View) {
		v.Endpoints = maps.Clone(v.Endpoints)
		for _, e := range changed {
			v.Endpoints[e.ID] = e
		}
	})
}

// SetLeaving records that an incarnation of an endpoint said in a response that it leaves.
// It drains for good, whatever the endpoint list says, which may be older or out of reach.
// SetLeaving reports whether this is new.
func (d *Directory) SetLeaving(id string, startedUnixMS int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if startedUnixMS != 0 {
		d.drained.add(incarnation{endpointID: id, startedUnixMS: startedUnixMS}, true)
	}
	listed := d.current.Load().Endpoints[id]
	if listed == nil || listed.StartedUnixMS != startedUnixMS || listed.Leaving {
		return false
	}
	leaving := *listed
	leaving.Draining = true
	leaving.Leaving = true
	d.logger.Info("endpoint says that it leaves", "endpoint", id, "service", leaving.Service, "listed_as_draining", listed.Draining)
	d.update(func(v *View) {
		v.Endpoints = maps.Clone(v.Endpoints)
		v.Endpoints[id] = &leaving
	})
	return true
}

// DropEndpoint removes an endpoint that is no longer listed. During an outage of
// the store of at least minOutage and for missingGrace after it, the endpoint is only marked as
// missing; ExpireMissing removes it later. DropEndpoint reports whether it removed the endpoint.
func (d *Directory) DropEndpoint(now time.Time, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Load().Endpoints[id] == nil {
		return false
	}
	if d.isStoreAway(now) || d.uptime.sinceRecovery(now) < missingGrace {
		if _, marked := d.missing[id]; !marked {
			d.missing[id] = d.uptime.beforeLastRecovery
			d.logger.Info("endpoint missing after an outage of the store", "endpoint", id, "kept", missingGrace)
		}
		return false
	}
	d.remove(id)
	return true
}

// RestartMissingGrace gives endpoints that are missing from the list, or will be, the full
// missingGrace from now on: the store came back from an older copy and lacks the records that
// were written since.
func (d *Directory) RestartMissingGrace(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Load().StoreUp {
		d.uptime.lost(now)
	}
	d.uptime.recovered(now)
	for id := range d.missing {
		d.missing[id] = d.uptime.beforeLastRecovery
	}
}

func (d *Directory) remove(id string) {
	delete(d.missing, id)
	d.logger.Info("endpoint gone", "endpoint", id)
	d.update(func(v *View) {
		v.Endpoints = maps.Clone(v.Endpoints)
		delete(v.Endpoints, id)
	})
}

// ExpireMissing removes the endpoints that are still missing when the store has
// answered for missingGrace since the outage.
func (d *Directory) ExpireMissing(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.current.Load().StoreUp {
		return
	}
	for id, uptimeAtRecovery := range d.missing {
		if d.uptime.total(now)-uptimeAtRecovery >= missingGrace {
			d.remove(id)
		}
	}
}

// Retain drops the endpoints that are absent from listed, the IDs of a complete
// endpoint list.
func (d *Directory) Retain(now time.Time, listed map[string]bool) {
	for id := range d.View().Endpoints {
		if !listed[id] {
			d.DropEndpoint(now, id)
		}
	}
}

// SetStoreUp records whether the store answers. If it does not, since is when it may have gone away,
// else when it answered.
func (d *Directory) SetStoreUp(since time.Time, up bool, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Load().StoreUp == up {
		return
	}
	if !up {
		d.downSince = since
		d.logger.Warn("store lost, serving on the last known view", "error", cause)
	} else {
		outage := d.isStoreAway(since)
		if outage {
			d.uptime.lost(d.downSince)
			d.uptime.recovered(since)
		}
		d.logger.Info("store regained", "away_ms", since.Sub(d.downSince).Milliseconds(), "records_may_be_missing", outage)
	}
	d.update(func(v *View) { v.StoreUp = up })
}

// isStoreAway reports whether the store has been away for long enough that records may be missing.
func (d *Directory) isStoreAway(now time.Time) bool {
	return !d.current.Load().StoreUp && now.Sub(d.downSince) >= minOutage
}
