package fakes

import (
	"net/http"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// watchState is what a watch sees at one moment.
type watchState struct {
	entry   backing.KeyValueEntry
	err     error
	changed <-chan struct{}
	lapse   time.Duration // Until the next lease lapses.
}

func (k *KeyValue) watch(w http.ResponseWriter, r *http.Request) {
	version, valid := queryUint(r, "version")
	waitMS, waitValid := queryUint(r, "wait_ms")
	if !valid || !waitValid {
		refuse(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	k.read(&k.counts.Watch, func() {})
	for {
		state := k.look(r.URL.Query().Get("key"))
		if k.answerWatch(w, state, version) {
			return
		}
		if !await(r, state, deadline.C) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

// look reads the key and what ends the wait for its next change.
func (k *KeyValue) look(key string) watchState {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sweep()
	state := watchState{changed: k.changed, lapse: maxWatchWait}
	state.entry, state.err = k.state.get(key)
	if ends, found := k.state.nextLapse(); found {
		state.lapse = ends.Sub(k.clock())
	}
	return state
}

// answerWatch reports whether the watch ended.
func (k *KeyValue) answerWatch(w http.ResponseWriter, state watchState, version uint64) bool {
	switch {
	case k.Down():
		refuse(w, http.StatusServiceUnavailable, backing.CodeUnavailable)
		return true
	case state.err != nil && version != 0:
		refuseKeyValue(w, state.err)
		return true
	case state.entry.Version != version:
		httpcall.WriteJSON(w, backing.EntryDocument(state.entry))
		return true
	}
	return false
}

// await blocks until something may have changed; it returns false at the end
// of the watch's wait.
func await(r *http.Request, state watchState, deadline <-chan time.Time) bool {
	lapse := time.NewTimer(state.lapse)
	defer lapse.Stop()
	select {
	case <-state.changed:
		return true
	case <-lapse.C:
		return true
	case <-deadline:
		return false
	case <-r.Context().Done():
		return false
	}
}
