//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// fleet is a small deployment: entries, model replicas with an agent each, and the store.
type fleet struct {
	dir     string
	record  *record
	store   *store
	entries []*program
	agents  []*program
	models  []*replica
	plain   []*replica
	logs    []*os.File
}

// routeHost is the host of all routes.
const (
	routeHost    = "hulo84.example"
	streamPrefix = "/xapu221/"
	plainPrefix  = "/lepu270/"
	unsafePrefix = "/filo73/"
	modelService = "huvo11a"
	plainService = "wuno96b"
)

// document is the operator's manifest.
func document(version int, origin string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-s", "host": routeHost, "prefix": streamPrefix, "type": "streaming", "timeout_ms": 6000, "latency_target_ms": 400, "priority": 1, "service": modelService, "max_attempts": 2, "public": true, "sticky": true, "resumable": true, "target_gap_ms": 300},
			map[string]any{"name": "r-p", "host": routeHost, "prefix": plainPrefix, "type": "idempotent", "timeout_ms": 800, "latency_target_ms": 300, "priority": 2, "service": plainService, "max_attempts": 2, "public": true},
			map[string]any{"name": "r-u", "host": routeHost, "prefix": unsafePrefix, "type": "non_idempotent", "timeout_ms": 800, "latency_target_ms": 300, "priority": 2, "service": plainService, "max_attempts": 1, "public": true},
		},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_conns": 274, "protocol": "h1", "tls": false, "runtime": map[string]any{
				"slots": slots, "kv_capacity": 1640000, "model_list": []any{map[string]any{"name": modelID, "pace": 1.0, "load_s": 4.0, "warmup_s": warmup.Seconds()}},
				"step_ms": 6.73, "read_per_s": 30600.0, "chunk": 2048, "report_lag_ms": 200.0, "layers": layers, "layer_mb": 4540.0, "blocks": blocks, "block_bytes": blockBytes,
			}},
			map[string]any{"name": "kafi81c", "origin": origin, "zone": "khomas-a", "bandwidth_mbps": 9.9, "max_conns": 48},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// startFleet starts the stand-ins and the processes, and waits until all entries are ready. The
// functions serve requests of model replicas and of plain ones.
func startFleet(rec *record, entries, models, plain int, serveModel, servePlain func(*replica, http.ResponseWriter, *http.Request, []byte)) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: rec}
	if f.store, err = startStore(nodeIP(1)); err != nil {
		return f, err
	}
	origin, err := listen(nodeIP(2))
	if err != nil {
		return f, err
	}
	go func() { _ = http.Serve(origin, originHandler()) }() //nolint:gosec // It serves loopback only.
	f.store.put("op/config", document(1, origin.Addr().String()))
	for i := range models {
		x := &replica{store: f.store, record: rec, service: modelService, ip: nodeIP(100 + i), region: regions[i%len(regions)], model: true, serve: serveModel, version: 1, staged: make(map[int][]byte)}
		for num := range blocks {
			x.staged[num] = piece(1, num)
		}
		if err := x.start(); err != nil {
			return f, err
		}
		f.models = append(f.models, x)
		agent, err := newProgram(dir, "agent", fmt.Sprintf("side-%d", i+1), x.ip, x.region, f.store.address, modelService, x.address)
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, agent)
	}
	for i := range plain {
		x := &replica{store: f.store, record: rec, service: plainService, ip: nodeIP(50 + i), region: regions[i%len(regions)], serve: servePlain}
		if err := x.start(); err != nil {
			return f, err
		}
		f.plain = append(f.plain, x)
	}
	for i := range entries {
		entry, err := newProgram(dir, "entry", fmt.Sprintf("edge-%d", i+1), nodeIP(10+i), regions[i%len(regions)], f.store.address, "", "")
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, entry)
	}
	for _, p := range append(append([]*program{}, f.agents...), f.entries...) {
		log, err := os.Create(filepath.Join(dir, filepath.Base(p.settings)+".log"))
		if err != nil {
			return f, err
		}
		f.logs = append(f.logs, log)
		if err := p.start(log); err != nil {
			return f, err
		}
	}
	for _, p := range f.entries {
		if err := p.awaitReady(10 * time.Second); err != nil {
			return f, err
		}
	}
	return f, nil
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	stopAll()
	for _, log := range f.logs {
		_ = log.Close()
	}
	_ = os.RemoveAll(f.dir)
}
