//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots = 16
	// warmUp is how long the loading of all layers takes.
	warmUp = 300 * time.Millisecond
	// rotGrace is the time for which a piece that has turned bad counts as sound.
	rotGrace = 3 * time.Second
	// streamEvents and eventGap make up a stream.
	streamEvents   = 12
	tokensPerEvent = 6
	eventGap       = 20 * time.Millisecond
)

// engine is a stand-in of a model replica.
type engine struct {
	id, service, address, zone string
	born                       int64
	store                      *store
	record                     *record
	// onStageGet, onStagePut and onOrder are told of the calls of the agent, before the answer.
	onStageGet, onStagePut func(count int)
	onOrder                func()

	// poison is the part of a prompt that crashes the engine as it begins to answer on weights
	// of poisonVersion or newer, empty for none.
	poison        string
	poisonVersion int
	// downFor is how long a crashed engine is down.
	downFor time.Duration

	// eventGap and lengths: the pause between events, and whether streams are as long as the
	// request asks (6 tokens an event) instead of streamEvents.
	eventGap time.Duration
	asAsked  bool

	mu         sync.Mutex
	newest     []*preemption
	server     *http.Server
	down       bool
	crashes    []time.Time
	staged     map[int][]byte
	badSince   map[int]time.Time
	loaded     int
	spoilt     []int // Pieces of the loaded weights that had been bad for longer than rotGrace.
	mixed      []int // Pieces of the loaded weights that were missing or of another version.
	loading    bool
	seq        uint64
	beats      uint64
	active     int
	gets, puts int
	runs       []engineRun
}

// preemption lets a running request be preempted: it stands still until a time.
type preemption struct {
	id    string
	until time.Time
}

// preemptNewest preempts the newest running requests for some time, as for want of memory.
func (e *engine) preemptNewest(count int, pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.newest[max(len(e.newest)-count, 0):] {
		p.until = time.Now().Add(pause)
		e.record.say(e.id, "preempts %s, reads it again %v later", p.id, pause)
	}
}

// engineRun is a request that began at an engine.
type engineRun struct {
	id            string
	version       int
	spoilt, mixed int
	at            time.Time
}

func newEngine(b *bench, s *store, number int, service, zone string) (*engine, error) {
	e := &engine{
		id: fmt.Sprint("i-engine-", number), service: service, zone: zone, address: b.address(2, number, enginePort), born: time.Now().UnixMilli(),
		store: s, record: b.record, staged: make(map[int][]byte), badSince: make(map[int]time.Time), loaded: 1, eventGap: eventGap,
	}
	for num := range pieces {
		e.staged[num] = pieceOf(1, num)
	}
	b.onClose(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.server.Close()
	})
	return e, e.listen()
}

// listen starts to serve.
func (e *engine) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("PUT /stage-put/{id}", e.servePut)
	mux.HandleFunc("GET /stage-get/{id}", e.serveGet)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	server := &http.Server{Handler: mux}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the engine: its connections break, nothing listens, and it holds nothing but
// what is staged when it is back.
func (e *engine) crash(request string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.crashes = append(e.crashes, time.Now())
	server := e.server
	e.loaded, e.loading, e.seq, e.spoilt, e.mixed = 0, false, 0, nil, nil
	e.mu.Unlock()
	e.record.say(e.id, "crashes as it begins to answer %s", request)
	_ = server.Close()
	time.AfterFunc(e.downFor, func() {
		e.mu.Lock()
		e.born = time.Now().UnixMilli()
		e.down = false
		e.mu.Unlock()
		e.record.say(e.id, "is back: %v", e.listen())
	})
}

// isPoison reports whether a request holds the part that crashes the engine. The last part
// belongs to the request itself.
func (e *engine) isPoison(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("Snipestep-Prefix-Hash"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); e.poison != "" && id == e.poison {
			return true
		}
	}
	return false
}

// state returns what the engine says of itself. The caller holds e.mu.
func (e *engine) state() map[string]any {
	models := []map[string]any{}
	held := map[string]any{"from": 0, "target": 0, "version": 0}
	if e.loaded > 0 {
		models = append(models, map[string]any{"name": model, "version": e.loaded, "loras": []string{}})
		held = map[string]any{"from": 0, "target": layers, "version": e.loaded}
	}
	return map[string]any{"phase": "mixed", "model_list": models, "layers": held, "born": e.born}
}

// checkIn keeps the engine's entry in the store until ctx ends: it changes when more than
// seq changes, or when the store lacks it.
func (e *engine) checkIn(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last, lastBorn := -1, int64(0)
	for {
		e.mu.Lock()
		loaded, born, down := e.loaded, e.born, e.down
		entry := e.state()
		e.beats++
		entry["seq"] = e.beats
		e.mu.Unlock()
		for name, value := range map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0} {
			entry[name] = value
		}
		if !down && (loaded != last || born != lastBorn || e.store.lacks("servers/"+e.id)) {
			if _, ok := e.store.put("servers/"+e.id, entry); ok {
				last, lastBorn = loaded, born
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.state()
	for name, value := range map[string]any{"busy": e.loading, "seq": e.seq, "queued": 0, "active": e.active, "kv_in_use": 0, "kv_size": 1640000 * layers, "leases": 0, "pace": 1.0} {
		report[name] = value
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *engine) servePut(w http.ResponseWriter, r *http.Request) {
	num, _ := strconv.Atoi(r.URL.Query().Get("num"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.staged[num] = data
	delete(e.badSince, num)
	e.puts++
	count := e.puts
	e.mu.Unlock()
	if e.onStagePut != nil {
		e.onStagePut(count)
	}
	w.WriteHeader(http.StatusOK)
}

func (e *engine) serveGet(w http.ResponseWriter, r *http.Request) {
	num, err := strconv.Atoi(r.URL.Query().Get("num"))
	e.mu.Lock()
	data := bytes.Clone(e.staged[num])
	e.gets++
	count := e.gets
	e.mu.Unlock()
	if e.onStageGet != nil {
		e.onStageGet(count)
	}
	if err != nil || data == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

// rot makes staged pieces turn bad.
func (e *engine) rot(nums ...int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, num := range nums {
		data := bytes.Clone(e.staged[num])
		if len(data) == 0 {
			continue
		}
		data[100] ^= 0xff
		e.staged[num] = data
		e.badSince[num] = time.Now()
	}
	e.record.say(e.id, "staged pieces %v turn bad", nums)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.onOrder != nil {
		e.onOrder()
	}
	var order struct {
		Op      string  `json:"op"`
		Model   string  `json:"model_id"`
		Version int     `json:"version"`
		Expect  *uint64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" || order.Model != model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading || order.Expect != nil && *order.Expect != e.seq {
		e.record.say(e.id, "order to load version %d refused: seq %d", order.Version, e.seq)
		w.WriteHeader(http.StatusConflict)
		return
	}
	if order.Version == e.loaded {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.seq++
	e.loading = true
	var spoilt, mixed []int
	for num := range pieces {
		if bytes.Equal(e.staged[num], pieceOf(order.Version, num)) {
			continue
		}
		since, rotten := e.badSince[num]
		switch {
		case !rotten:
			mixed = append(mixed, num)
		case time.Since(since) > rotGrace:
			spoilt = append(spoilt, num)
		}
		e.record.say(e.id, "piece %d is not that of version %d as the order is accepted; bad for %v", num, order.Version, time.Since(since).Round(time.Millisecond))
	}
	e.record.say(e.id, "order to load version %d accepted; spoilt %v, mixed %v", order.Version, spoilt, mixed)
	go e.load(order.Version, spoilt, mixed)
	w.WriteHeader(http.StatusAccepted)
}

// load loads a version after what is running.
func (e *engine) load(version int, spoilt, mixed []int) {
	e.mu.Lock()
	born := e.born
	e.mu.Unlock()
	for {
		e.mu.Lock()
		active := e.active
		e.mu.Unlock()
		if active == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmUp)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.born != born {
		return
	}
	e.loaded, e.spoilt, e.mixed, e.loading = version, spoilt, mixed, false
	e.record.say(e.id, "version %d is loaded", version)
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Snipestep-Attempt-Id")
	w.Header().Set("Snipestep-Attempt-Id", id)
	if r.Header.Get("Snipestep-Expect-Replica") != e.id {
		w.Header().Set("Snipestep-Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.loading || e.loaded == 0 || e.active >= engineSlots {
		e.mu.Unlock()
		w.Header().Set("Snipestep-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.active++
	begun := engineRun{id: id, version: e.loaded, spoilt: len(e.spoilt), mixed: len(e.mixed), at: time.Now()}
	e.runs = append(e.runs, begun)
	running := &preemption{id: id}
	e.newest = append(e.newest, running)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
		e.newest = slices.DeleteFunc(e.newest, func(p *preemption) bool { return p == running })
	}()
	e.record.say(e.id, "runs %s on version %d (%d pieces spoilt, %d mixed)", id, begun.version, begun.spoilt, begun.mixed)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Snipestep-Server-Seal", "2."+id)
	w.Header().Set("Snipestep-Weight-Versions", strconv.Itoa(begun.version))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if begun.version >= e.poisonVersion && e.isPoison(r) {
		time.Sleep(eventGap)
		e.crash(id)
		return
	}
	count := streamEvents
	if _, tokens, ok := strings.Cut(r.Header.Get("Snipestep-Token-Usage"), ","); ok && e.asAsked {
		if n, err := strconv.Atoi(tokens); err == nil {
			count = n / tokensPerEvent
		}
	}
	for event := last + 1; event <= count; event++ {
		e.mu.Lock()
		wait := max(time.Until(running.until), 0) + e.eventGap
		e.mu.Unlock()
		select {
		case <-r.Context().Done():
			e.record.say(e.id, "%s is cancelled after event %d", id, event-1)
			return
		case <-time.After(wait):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s tokens\n\n", event, e.id)
		_ = http.NewResponseController(w).Flush()
	}
}
