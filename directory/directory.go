package directory

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// missingGrace is how long an endpoint that vanished from the list around an
// outage of the store stays in use: entries that lapsed during an outage are
// written again within 2 s of its end.
const missingGrace = 2 * time.Second

// Directory holds the current View. Reads take no lock. Its writers are
// serialised by mu; listeners are called under it and must not block or call
// back.
type Directory struct {
	logger  *slog.Logger
	current atomic.Pointer[View]

	mu        sync.Mutex
	listeners []func(*View)
	// regained is when the store last answered after an outage.
	regained time.Time
	// missing holds the endpoints that vanished and are kept for missingGrace.
	missing map[string]bool
}

// New returns a directory that knows nothing.
func New(logger *slog.Logger) *Directory {
	d := &Directory{logger: logger, missing: make(map[string]bool)}
	d.current.Store(&View{Endpoints: map[string]*Endpoint{}, Models: map[string]Declared{}, StoreUp: true})
	return d
}

// View returns the current view.
func (d *Directory) View() *View {
	return d.current.Load()
}

// Listen calls f with the current view and with each later one.
func (d *Directory) Listen(f func(*View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
	f(d.current.Load())
}

// change replaces the view by a changed copy. d.mu is held.
func (d *Directory) change(f func(*View)) {
	next := *d.current.Load()
	f(&next)
	d.current.Store(&next)
	for _, listener := range d.listeners {
		listener(&next)
	}
}

// SetDocument puts a document in force unless a newer one is.
func (d *Directory) SetDocument(doc *Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.current.Load().Document; old != nil && old.Version >= doc.Version {
		return
	}
	d.logger.Info("document in force", "version", doc.Version, "services", len(doc.Services), "keys", len(doc.Keys))
	d.change(func(v *View) { v.Document = doc })
}

// Declare records the wanted version of a model, declared at since. guessed
// says that since is no more than a guess. Older versions are ignored.
func (d *Directory) Declare(since time.Time, model string, version uint64, guessed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load().VersionOf(model)
	if _, known := d.current.Load().Models[model]; known && old.Version >= version {
		return
	}
	d.logger.Info("version declared", "model", model, "version", version, "previous", old.Version, "guessed", guessed)
	d.setDeclared(model, Declared{
		Version: version, Since: since, Guessed: guessed,
		Previous: old.Version, PreviousSince: old.Since,
	})
}

// learnSlack is by how much another process must have learnt of a version
// earlier for its word to count: ages are told in steps of 100 ms.
const learnSlack = 150 * time.Millisecond

// Learn takes in what another process knows of a declared version: one that is
// not known here yet, one that was there before this process, or one that took
// longer to arrive here.
func (d *Directory) Learn(model string, version uint64, since time.Time) {
	known, ok := d.View().Models[model]
	if !ok && version <= FirstVersion {
		return
	}
	if !ok || version > known.Version {
		d.Declare(since, model, version, false)
		return
	}
	if version < known.Version || !known.learns(since) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known = d.current.Load().Models[model]
	if version != known.Version || !known.learns(since) {
		return
	}
	d.logger.Info("age of a declared version learnt", "model", model, "version", version, "age_ms", time.Since(since).Milliseconds())
	known.Since = since
	known.Guessed = false
	d.setDeclared(model, known)
}

// setDeclared replaces one model's version. d.mu is held.
func (d *Directory) setDeclared(model string, declared Declared) {
	d.change(func(v *View) {
		v.Models = maps.Clone(v.Models)
		v.Models[model] = declared
	})
}

// PutEndpoint adds or replaces an endpoint.
func (d *Directory) PutEndpoint(e *Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.missing, e.ID)
	old := d.current.Load().Endpoints[e.ID]
	if old != nil && *old == *e {
		return
	}
	if old == nil || old.Draining != e.Draining || old.Held != e.Held {
		d.logger.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "draining", e.Draining, "held", e.Held)
	}
	d.change(func(v *View) {
		v.Endpoints = maps.Clone(v.Endpoints)
		v.Endpoints[e.ID] = e
	})
}

// DropEndpoint removes an endpoint that is no longer listed. Around an outage
// of the store it is kept until Expire finds it missing for missingGrace.
func (d *Directory) DropEndpoint(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Load().Endpoints[id] == nil {
		return
	}
	if !d.current.Load().StoreUp || now.Sub(d.regained) < missingGrace {
		if !d.missing[id] {
			d.missing[id] = true
			d.logger.Info("endpoint missing after an outage of the store", "endpoint", id, "kept", missingGrace)
		}
		return
	}
	d.drop(id)
}

func (d *Directory) drop(id string) {
	delete(d.missing, id)
	d.logger.Info("endpoint gone", "endpoint", id)
	d.change(func(v *View) {
		v.Endpoints = maps.Clone(v.Endpoints)
		delete(v.Endpoints, id)
	})
}

// Expire drops the endpoints that stayed missing after the store's return.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.current.Load().StoreUp || now.Sub(d.regained) < missingGrace {
		return
	}
	for id := range d.missing {
		d.drop(id)
	}
}

// Retain drops the endpoints that a whole reading of the list did not show.
func (d *Directory) Retain(now time.Time, listed map[string]bool) {
	for id := range d.View().Endpoints {
		if !listed[id] {
			d.DropEndpoint(now, id)
		}
	}
}

// SetStoreUp records whether the store answers.
func (d *Directory) SetStoreUp(now time.Time, up bool, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current.Load().StoreUp == up {
		return
	}
	if up {
		d.regained = now
		d.logger.Info("store regained")
	} else {
		d.logger.Warn("store lost, serving on the last known view", "error", cause)
	}
	d.change(func(v *View) { v.StoreUp = up })
}
