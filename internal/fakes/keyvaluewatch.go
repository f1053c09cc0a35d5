package fakes

import (
	"net/http"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// watchState is the state of a watched key at one time.
type watchState struct {
	entry       backing.KeyValueEntry
	err         error
	changed     <-chan struct{}
	untilExpiry time.Duration // Until the next lease expires.
}

func (k *KeyValue) watch(w http.ResponseWriter, r *http.Request) {
	knownVersion, validVersion := queryUint(r, "version")
	waitMS, validWait := queryUint(r, "wait_ms")
	if !validVersion || !validWait {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	k.countedRead(&k.counts.Watch, func() {})
	for {
		state := k.readWatchState(r.URL.Query().Get("key"))
		if k.respondToWatch(w, state, knownVersion) {
			return
		}
		if !waitForChange(r, state, deadline.C) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

// readWatchState reads the key and the events that end the wait for its next
// change.
func (k *KeyValue) readWatchState(key string) watchState {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
	state := watchState{changed: k.changed, untilExpiry: maxWatchWait}
	state.entry, state.err = k.state.get(key)
	if expiresAt, found := k.state.nextExpiry(); found {
		state.untilExpiry = expiresAt.Sub(k.clock())
	}
	return state
}

// respondToWatch writes the response if the watch ends and reports whether it
// does.
func (k *KeyValue) respondToWatch(w http.ResponseWriter, state watchState, knownVersion uint64) bool {
	switch {
	case k.Down():
		writeError(w, http.StatusServiceUnavailable, backing.CodeUnavailable)
		return true
	case state.err != nil && knownVersion != 0:
		writeKeyValueError(w, state.err)
		return true
	case state.entry.Version != knownVersion:
		httpcall.WriteJSON(w, backing.EntryDocument(state.entry))
		return true
	}
	return false
}

// waitForChange blocks until the key may have changed. It returns false at the
// deadline and when the caller disconnects.
func waitForChange(r *http.Request, state watchState, deadline <-chan time.Time) bool {
	expiry := time.NewTimer(state.untilExpiry)
	defer expiry.Stop()
	select {
	case <-state.changed:
		return true
	case <-expiry.C:
		return true
	case <-deadline:
		return false
	case <-r.Context().Done():
		return false
	}
}
