//go:build review

package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it was written, or its deletion.
type item struct {
	Key      string `json:"key"`
	Data     string `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	Lease    uint64 `json:"lease"`
}

// content is what the store holds at a moment: its items and its history.
type content struct {
	revision uint64
	items    map[string]item
	history  []item
}

func (c *content) clone() *content {
	items := make(map[string]item, len(c.items))
	for k, v := range c.items {
		items[k] = v
	}
	return &content{revision: c.revision, items: items, history: slices.Clone(c.history)}
}

// store is a stand-in of the platform's store: ranges and watches for the project's programs,
// writes for the operator and the replicas, which answer at once.
type store struct {
	record *record
	server *http.Server

	mu      sync.Mutex
	now     *content
	copy    *content
	era     uint64
	away    bool
	changed chan struct{} // Closed at the next change.
	conns   map[net.Conn]bool
}

// firstRevision is the revision of the empty store: it starts above 0.
const firstRevision = 100

func startStore(b *bench) (*store, error) {
	s := &store{record: b.record, now: &content{revision: firstRevision, items: map[string]item{}}, era: 1, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux, ConnState: s.track}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", b.address(9, 1, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = s.server.Serve(listener) }()
	b.onClose(func() { _ = s.server.Close() })
	return s, nil
}

// track keeps the connections, and resets those that come while the store is away.
func (s *store) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	default:
		s.conns[conn] = true
		if s.away {
			reset(conn)
		}
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// takeCopy keeps a copy, from which restore brings the store back.
func (s *store) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy = s.now.clone()
	s.record.say("store", "copy taken at revision %d", s.now.revision)
}

// leave makes the store go away: all connections are reset, also new ones.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for conn := range s.conns {
		reset(conn)
	}
	s.record.say("store", "away at revision %d", s.now.revision)
}

// restore brings the store back from the copy, in the next era.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.copy.clone()
	s.era++
	s.away = false
	s.notify()
	s.record.say("store", "back from the copy at revision %d, Store-Era %d", s.now.revision, s.era)
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value. It reports false while the store is away. A value that is there already
// changes nothing.
func (s *store) put(key string, value any) (revision uint64, ok bool) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, false
	}
	encoded := base64.StdEncoding.EncodeToString(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	old := s.now.items[key]
	if old.Data == encoded {
		return old.Revision, true
	}
	s.now.revision++
	written := item{Key: key, Data: encoded, Revision: s.now.revision, Created: old.Created}
	if old.Created == 0 {
		written.Created = s.now.revision
	}
	s.now.items[key] = written
	s.now.history = append(s.now.history, written)
	s.notify()
	s.record.say("store", "revision %d: %s written", s.now.revision, key)
	return s.now.revision, true
}

// remove deletes a key. It reports false while the store is away.
func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if _, found := s.now.items[key]; !found {
		return true
	}
	s.now.revision++
	delete(s.now.items, key)
	s.now.history = append(s.now.history, item{Key: key, Revision: s.now.revision, Deleted: true})
	s.notify()
	s.record.say("store", "revision %d: %s removed", s.now.revision, key)
	return true
}

// lacks reports whether the store lacks a key, so that its writer has to write it again.
func (s *store) lacks(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.now.items[key]
	return !found
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []item{}
	for key, i := range s.now.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			entries = append(entries, i)
		}
	}
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	s.record.say("store", "range %q from %s: %d entries at revision %d", r.URL.Query().Get("prefix"), r.RemoteAddr, len(entries), s.now.revision)
	s.answer(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "at": s.now.revision})
}

// answer writes an answer. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	prefix := r.URL.Query().Get("prefix")
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		if after > s.now.revision || after < firstRevision {
			s.record.say("store", "watch from %s after %d: 410, the store is at %d", r.RemoteAddr, after, s.now.revision)
			s.answer(w, http.StatusGone, map[string]any{"error": "gone"})
			s.mu.Unlock()
			return
		}
		events := []item{}
		for _, i := range s.now.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || waited {
			if len(events) > 0 {
				s.record.say("store", "watch from %s after %d: %d events up to %d", r.RemoteAddr, after, len(events), s.now.revision)
			}
			s.answer(w, http.StatusOK, map[string]any{"events": events, "at": s.now.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}
