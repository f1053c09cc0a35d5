//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["freeze"] = playFreeze }

const (
	// freezeTime is the longest freeze of a side machine in the site file.
	freezeTime = 4 * time.Second
	// rotPieces is the site's share of rotten pieces, 0.06 of 64.
	rotPieces = 3
)

// modelFleet is a small fleet with one entry, and model replicas with an agent each.
type modelFleet struct {
	store    *store
	origin   *origin
	engines  []*engine
	agents   []*process
	consumer *consumer
}

// fleetZones are the zones of the site's machines: five entries, eleven replicas.
var fleetZones = []string{"dar-a", "dar-a", "arusha-a", "arusha-a", "mwanza-a", "dar-a", "dar-a", "arusha-a", "arusha-a", "mwanza-a", "mwanza-a"}

// startModelFleet starts the stand-ins, entries and agents.
func startModelFleet(ctx context.Context, b *bench, entries, engines int) (*modelFleet, error) {
	s, err := startStore(b)
	if err != nil {
		return nil, err
	}
	o, err := startOrigin(b)
	if err != nil {
		return nil, err
	}
	f := &modelFleet{store: s, origin: o, consumer: newConsumer(b)}
	services := []map[string]any{
		{
			"name": "lm", "health_path": "/healthz", "max_conns": 274, "protocol": "h1", "tls": false,
			"runtime": map[string]any{
				"slots": engineSlots, "kv_capacity": 1640000, "kv_token_bytes": 163840, "stride": 6, "size_mb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219,
				"context_per_k": 0.0068, "read_per_s": 30600.0, "chunk": 2048, "report_lag_ms": 200.0, "layers": layers, "layer_mb": 4540.0, "blocks": pieces, "block_bytes": pieceBytes,
				"model_list": []map[string]any{{"name": model, "pace": 1.0, "load_s": 4.0, "warmup_s": warmUp.Seconds()}},
			},
		},
		{"name": "registry", "origin": b.address(9, 2, originPort), "zone": "dar-a", "bandwidth_mbps": 9.9, "max_conns": 48},
	}
	reply := route("r-reply", "lm.example", "/reply/", "streaming", "lm")
	reply["latency_target_ms"], reply["priority"] = 800, 2
	routes := []map[string]any{route("r-letter", "lm.example", "/letter/", "streaming", "lm"), reply}
	s.put("op/config", manifest(3, routes, services, []map[string]any{tenant("mwanza", "key-a")}))
	for n := 1; n <= engines; n++ {
		e, err := newEngine(b, s, n, "lm", fleetZones[n-1])
		if err != nil {
			return nil, err
		}
		f.engines = append(f.engines, e)
		go e.checkIn(ctx)
	}
	for n := 1; n <= entries; n++ {
		if _, err := b.start(machine{name: fmt.Sprint("edge-", n), role: "entry", ip: b.ip(1, n), zone: fleetZones[n-1], linkMbps: 1000}); err != nil {
			return nil, err
		}
	}
	for n := 1; n <= engines; n++ {
		agent, err := b.start(machine{name: fmt.Sprint("side-", n), role: "agent", ip: b.ip(2, n), zone: fleetZones[n-1], linkMbps: 7.6, service: "lm", engine: f.engines[n-1].address})
		if err != nil {
			return nil, err
		}
		f.agents = append(f.agents, agent)
	}
	return f, b.awaitReady(entries)
}

// letter returns a request for a stream.
func (b *bench) letter(entry int) request {
	return request{
		kind: "letter", entry: b.address(1, entry, callerPort), method: "POST", host: "lm.example", path: "/letter/1", key: "key-a", body: "write a letter", deadline: 6 * time.Second,
		header: map[string]string{"Snipestep-Model": model, "Snipestep-Token-Usage": "300,72", "Snipestep-Prefix-Hash": "5c1e07a2:40,e4402b7d:260", "Snipestep-Length-Hint": "72"},
	}
}

// declare names a version of the weights.
func (f *modelFleet) declare(b *bench, version int) {
	f.origin.name(version)
	revision, ok := f.store.put("op/version/"+model, map[string]any{"model_id": model, "version": version})
	b.record.say("operator", "version %d named: %v, revision %d", version, ok, revision)
}

// playFreeze: an agent's machine freezes between its check of the staged pieces and its order.
func playFreeze(b *bench) (bool, error) {
	const engines = 3
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := startModelFleet(ctx, b, 1, engines)
	if err != nil {
		return false, err
	}
	target, agent := f.engines[0], f.agents[0]
	var firstGood sync.Once
	target.onStagePut = func(count int) {
		if count == 1 {
			b.record.say(target.id, "first piece staged")
		}
		// Three quarters of the pieces are staged and read back.
		if count == pieces*3/4 && b.trouble {
			firstGood.Do(func() {
				_ = agent.signal(syscall.SIGSTOP)
				b.record.say(agent.machine.name, "freezes")
				time.AfterFunc(freezeTime/8, func() { target.rot(3, 7, 11) })
				time.AfterFunc(freezeTime, func() {
					_ = agent.signal(syscall.SIGCONT)
					b.record.say(agent.machine.name, "wakes")
				})
			})
		} else if count == pieces*3/4 {
			b.record.say(agent.machine.name, "no trouble")
			firstGood.Do(func() { time.AfterFunc(freezeTime/8, func() { b.record.say(target.id, "no piece turns bad") }) })
		}
	}
	began := time.Now()
	traffic, stop := context.WithDeadline(ctx, began.Add(30*time.Second))
	defer stop()
	time.AfterFunc(4*time.Second, func() { f.declare(b, 2) })
	f.consumer.repeat(traffic, 100*time.Millisecond, func() request { return b.letter(1) })
	return judgeWhole(b, f)
}

// judgeWhole reports whether a token was made with a piece that the rule WHOLE forbids.
func judgeWhole(b *bench, f *modelFleet) (bool, error) {
	bad, newest := 0, 0
	for _, e := range f.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.spoilt+r.mixed > 0 {
				bad++
			}
			if r.version > 1 {
				newest++
			}
		}
		e.mu.Unlock()
	}
	b.record.say("judge", "%d requests began on a newer version, WHOLE: %d of them on spoilt or mixed weights", newest, bad)
	if newest == 0 {
		return false, fmt.Errorf("no request began on the newer version\n%s", b.log("side-1"))
	}
	return bad > 0, nil
}
