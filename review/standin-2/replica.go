//go:build review2

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the weights and of the replicas of a small deployment.
const (
	modelID    = "daka510000"
	blocks     = 64
	blockBytes = 32768
	layers     = 16
	slots      = 16
	heartbeat  = 1200 * time.Millisecond
	// lapse is three check-in intervals, after which the record of a silent replica is removed.
	lapse = 3 * heartbeat
	// warmup is warmup_s of the service.
	warmup = 300 * time.Millisecond
)

// piece returns the bytes of a piece of the weights.
func piece(version uint64, num int) []byte {
	sum := sha256.Sum256([]byte(fmt.Sprint(version, " ", num)))
	data := make([]byte, 0, blockBytes)
	for len(data) < blockBytes {
		data = append(data, sum[:]...)
	}
	return data
}

// originHandler serves the manifest and the pieces.
func originHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest/{id}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
		hashes := make([]string, blocks)
		for i := range hashes {
			sum := sha256.Sum256(piece(version, i))
			hashes[i] = hex.EncodeToString(sum[:])
		}
		writeJSON(w, map[string]any{"model_id": r.PathValue("id"), "version": version, "block_bytes": blockBytes, "layers": layers, "hashes": hashes})
	})
	mux.HandleFunc("GET /piece/{id}", func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
		num, _ := strconv.Atoi(r.URL.Query().Get("num"))
		_, _ = w.Write(piece(version, num))
	})
	return mux
}

// replica is a stand-in of a model replica, or of a plain one if model is false.
type replica struct {
	store   *store
	record  *record
	service string
	ip      string
	region  string
	address string
	model   bool
	// serve answers a request that was accepted.
	serve func(x *replica, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	up       bool
	state    string
	version  uint64 // Loaded; 0 for none.
	seq      uint64
	busy     bool
	active   int
	staged   map[int][]byte
	lapseAt  *time.Timer
}

// start starts the replica and registers it.
func (x *replica) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	address := x.address
	if address == "" {
		address = x.ip + ":0"
	}
	var err error
	for range 50 {
		if x.listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	x.address = x.listener.Addr().String()
	x.id = fmt.Sprintf("i-%x%02d", time.Now().UnixNano()&0xffffff, x.starts)
	x.starts++
	x.born = time.Now().UnixMilli()
	x.seq, x.busy, x.active, x.up, x.state = 0, false, 0, true, "ready"
	if x.starts > 1 {
		x.version = 0
	}
	x.conns = make(map[net.Conn]bool)
	conns := x.conns
	x.server = &http.Server{Handler: http.HandlerFunc(x.handle), ConnState: func(c net.Conn, s http.ConnState) { //nolint:gosec // It serves loopback only.
		x.mu.Lock()
		defer x.mu.Unlock()
		if s == http.StateClosed {
			delete(conns, c)
		} else {
			conns[c] = true
		}
	}}
	server, listener := x.server, x.listener
	go func() { _ = server.Serve(listener) }()
	x.lapseAt = nil
	x.register()
	return nil
}

// register writes the record. It is called with mu held.
func (x *replica) register() {
	entry := map[string]any{
		"service": x.service, "address": x.address, "zone": x.region + "-a", "version": "1", "slots": slots, "state": x.state,
		"cold_left_ms": 0, "seq": x.seq, "born": x.born,
	}
	if x.model {
		entry["phase"] = "mixed"
		entry["model_list"] = x.modelList()
		entry["layers"] = x.layerRange()
	}
	x.store.put("servers/"+x.id, entry)
}

func (x *replica) modelList() []any {
	if x.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"name": modelID, "version": x.version, "loras": []any{}}}
}

func (x *replica) layerRange() map[string]any {
	if x.version == 0 {
		return map[string]any{"from": 0, "target": 0, "version": 0}
	}
	return map[string]any{"from": 0, "target": layers, "version": x.version}
}

// currentID returns the ID of the present start.
func (x *replica) currentID() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.id
}

// exit ends a replica that has left: its record is gone already.
func (x *replica) exit() {
	x.crash()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lapseAt != nil {
		x.lapseAt.Stop()
		x.lapseAt = nil
	}
}

// crash ends the replica at once. Its connections are reset, and its record lapses.
func (x *replica) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up {
		return
	}
	x.up = false
	_ = x.listener.Close()
	for c := range x.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	key := "servers/" + x.id
	x.lapseAt = time.AfterFunc(lapse, func() { x.store.remove(key) })
}

func (x *replica) handle(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		x.serveReport(w)
	case r.URL.Path == "/order":
		x.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"):
		data, _ := io.ReadAll(r.Body)
		num, _ := strconv.Atoi(r.URL.Query().Get("num"))
		x.mu.Lock()
		x.staged[num] = data
		x.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		num, _ := strconv.Atoi(r.URL.Query().Get("num"))
		x.mu.Lock()
		data, ok := x.staged[num]
		x.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	default:
		x.serveRequest(w, r)
	}
}

func (x *replica) serveReport(w http.ResponseWriter) {
	x.mu.Lock()
	defer x.mu.Unlock()
	writeJSON(w, map[string]any{
		"phase": "mixed", "model_list": x.modelList(), "layers": x.layerRange(), "busy": x.busy, "seq": x.seq, "queued": 0,
		"active": x.active, "kv_in_use": 0, "kv_size": 1640000, "leases": 0, "pace": 1.0, "born": x.born,
	})
}

func (x *replica) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op      string  `json:"op"`
		Version uint64  `json:"version"`
		Expect  *uint64 `json:"expect"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	x.mu.Lock()
	defer x.mu.Unlock()
	if order.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if x.version == order.Version && !x.busy {
		return
	}
	if x.busy || (order.Expect != nil && *order.Expect != x.seq) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	x.seq++
	x.busy = true
	starts := x.starts
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			x.mu.Lock()
			idle := x.active == 0
			x.mu.Unlock()
			if idle {
				break
			}
		}
		time.Sleep(warmup)
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.starts == starts && x.up {
			x.busy, x.version = false, order.Version
			x.register()
		}
	}()
	w.WriteHeader(http.StatusAccepted)
}

// serveRequest serves a request of the system.
func (x *replica) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("Snipestep-Attempt-Id")
	w.Header().Set("Snipestep-Attempt-Id", attempt)
	x.mu.Lock()
	id := x.id
	status := 0
	switch {
	case !x.up:
		status = -1
	case r.Header.Get("Snipestep-Expect-Replica") != id && r.Header.Get("Snipestep-Expect-Replica") != "", x.model && x.version == 0:
		status = http.StatusMisdirectedRequest
	case x.busy || x.active >= slots:
		status = http.StatusServiceUnavailable
	}
	if status == 0 {
		x.active++
	}
	starts := x.starts
	x.mu.Unlock()
	if status < 0 {
		panic(http.ErrAbortHandler)
	}
	if status != 0 {
		w.Header().Set("Snipestep-Not-Executed", "1")
		w.WriteHeader(status)
		x.record.line("replica %s turns %s away with %d", id, attempt, status)
		return
	}
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.starts == starts {
			x.active--
		}
	}()
	x.serve(x, w, r, body)
}

// stream answers with events, one each gap.
func (x *replica) stream(w http.ResponseWriter, r *http.Request, events int, gap time.Duration) {
	x.mu.Lock()
	version, id := x.version, x.id
	x.mu.Unlock()
	first := nextEvent(r)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Snipestep-Server-Seal", "seal."+id)
	w.Header().Set("Snipestep-Weight-Versions", strconv.FormatUint(version, 10))
	for n := first; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, r.Header.Get("Snipestep-Attempt-Id"), n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
	}
}

// nextEvent returns the number of the first event that a request asks for.
func nextEvent(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return last + 1
}
