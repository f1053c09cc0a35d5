//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the pages describe it.
type item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store: the calls that read, linearizable, with the
// whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// cut is closed and replaced when the watches that wait are cut.
	cut chan struct{}
}

func startStore(ip string) (*store, error) {
	s := &store{revision: 100, items: make(map[string]item), changed: make(chan struct{}), cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }() //nolint:gosec // It serves loopback only.
	return s, nil
}

// cutWatches ends the connections of the watches that wait, without an answer.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// wake is called with mu held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key; value is encoded as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Data: data, Revision: s.revision, Created: created}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	query := r.URL.Query()
	s.mu.Lock()
	var entries []item
	for key, it := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			entries = append(entries, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	more := len(entries) > pageItems
	if more {
		entries = entries[:pageItems]
	}
	if entries == nil {
		entries = []item{}
	}
	writeJSON(w, map[string]any{"entries": entries, "has_more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, it := range s.history {
			if it.Revision <= after || !strings.HasPrefix(it.Key, query.Get("prefix")) {
				continue
			}
			if it.Deleted {
				events = append(events, map[string]any{"key": it.Key, "revision": it.Revision, "deleted": true})
			} else {
				events = append(events, it)
			}
		}
		at, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"key": it.Key, "data": it.Data, "revision": it.Revision, "created": it.Created, "lease": 0, "at": at})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
