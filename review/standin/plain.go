//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainReplica is a stand-in of a replica of a plain service.
type plainReplica struct {
	id, service, address, zone string
	born                       int64
	store                      *store
	record                     *record
	work                       time.Duration

	mu   sync.Mutex
	seq  uint64
	runs []run
}

// run is a request that a replica ran.
type run struct {
	id, tenant, path, replica, service string
	at                                 time.Time
}

func newPlainReplica(b *bench, s *store, id, service, zone string, kind, number int) (*plainReplica, error) {
	p := &plainReplica{
		id: id, service: service, zone: zone, address: b.address(kind, number, plainPort), born: time.Now().UnixMilli(),
		store: s, record: b.record, work: 15 * time.Millisecond,
	}
	server := &http.Server{Handler: p}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", p.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener) }()
	b.onClose(func() { _ = server.Close() })
	return p, nil
}

// checkIn keeps the replica's entry in the store until ctx ends: an entry changes when more
// than seq changes, or when the store lacks it.
func (p *plainReplica) checkIn(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if p.store.lacks("servers/" + p.id) {
			p.write()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *plainReplica) write() {
	p.mu.Lock()
	p.seq++
	entry := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "seq": p.seq, "born": p.born,
	}
	p.mu.Unlock()
	p.store.put("servers/"+p.id, entry)
}

// ServeHTTP implements http.Handler.
func (p *plainReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Snipestep-Attempt-Id")
	w.Header().Set("Snipestep-Attempt-Id", id)
	w.Header().Set("Snipestep-Replica-Load", "1,0,6")
	if r.Header.Get("Snipestep-Expect-Replica") != p.id {
		w.Header().Set("Snipestep-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.record.say(p.id, "of %s runs %s for tenant %s: %s", p.service, id, r.Header.Get("Snipestep-Tenant"), r.URL.Path)
	p.mu.Lock()
	p.runs = append(p.runs, run{id: id, tenant: r.Header.Get("Snipestep-Tenant"), path: r.URL.Path, replica: p.id, service: p.service, at: time.Now()})
	p.mu.Unlock()
	time.Sleep(p.work)
	w.Header().Set("Snipestep-Server-Seal", "1."+id)
	fmt.Fprintf(w, "answer of %s to %s", p.id, id)
}
