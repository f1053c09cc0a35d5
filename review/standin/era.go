//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["era"] = playEra }

// The times of the era case, from the moment at which the entries are ready.
const (
	eraJoin   = 5 * time.Second
	eraCopy   = 4500 * time.Millisecond
	eraAway   = 7 * time.Second
	eraWrite  = 7500 * time.Millisecond // The operator begins to write its manifest.
	eraBack   = 8 * time.Second
	eraJudged = eraBack + stable + configBound + partition
	eraEnd    = eraJudged + 6*time.Second
)

// operatorRetry is the pause after which the operator writes again what the store didn't take.
const operatorRetry = 50 * time.Millisecond

// playEra: the store comes back from an older copy, and the operator's manifest is the first
// thing that is written to it again.
func playEra(b *bench) (bool, error) {
	const entries = 3
	s, err := startStore(b)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	services := []map[string]any{plainService("posta"), plainService("registry")}
	routes := func(moved string) []map[string]any {
		return []map[string]any{route("r-stay", "posta.example", "/stay/", "idempotent", "posta"), route("r-move", "posta.example", "/move/", "idempotent", moved)}
	}
	s.put("op/config", manifest(3, routes("posta"), services, []map[string]any{tenant("mwanza", "key-kept", "key-removed")}))
	var replicas []*plainReplica
	for n, zone := range []string{"dar-a", "arusha-a", "mwanza-a", "dar-a", "arusha-a"} {
		service := "posta"
		if n >= 3 {
			service = "registry"
		}
		replica, err := newPlainReplica(b, s, fmt.Sprint("i-", n+1), service, zone, 3, n+1)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, replica)
		go replica.checkIn(ctx)
	}
	joining, err := newPlainReplica(b, s, "i-joining", "posta", "mwanza-a", 3, 9)
	if err != nil {
		return false, err
	}
	replicas = append(replicas, joining)
	for n, zone := range []string{"dar-a", "arusha-a", "mwanza-a"} {
		if _, err := b.start(machine{name: fmt.Sprint("edge-", n+1), role: "entry", ip: b.ip(1, n+1), zone: zone, linkMbps: 1000}); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(entries); err != nil {
		return false, err
	}
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }

	c := newConsumer(b)
	traffic, stopTraffic := context.WithDeadline(ctx, began.Add(eraEnd))
	defer stopTraffic()
	done := make(chan struct{}, 3*entries)
	for n := 1; n <= entries; n++ {
		entry := b.address(1, n, callerPort)
		for _, r := range []request{
			{kind: "key kept", path: "/stay/a", key: "key-kept"},
			{kind: "key removed", path: "/stay/b", key: "key-removed"},
			{kind: "route moved", path: "/move/c", key: "key-kept"},
		} {
			r.entry, r.method, r.host, r.deadline = entry, "GET", "posta.example", 1500*time.Millisecond
			go func() {
				c.repeat(traffic, 200*time.Millisecond, func() request { return r })
				done <- struct{}{}
			}()
		}
	}
	at(eraCopy)
	s.takeCopy()
	at(eraJoin)
	go joining.checkIn(ctx)
	at(eraAway)
	if b.trouble {
		s.leave()
	}
	if b.trouble {
		time.AfterFunc(time.Until(began.Add(eraBack)), s.restore)
	}
	at(eraWrite)
	for {
		revision, ok := s.put("op/config", manifest(7, routes("registry"), services, []map[string]any{tenant("mwanza", "key-kept")}))
		if ok {
			b.record.say("operator", "manifest 7 (key-removed removed, r-move moved to registry) confirmed, revision %d", revision)
			break
		}
		time.Sleep(operatorRetry)
	}
	for range cap(done) {
		<-done
	}
	return judgeEra(b, c, replicas, began.Add(eraJudged)), nil
}

// judgeEra reports whether a request that was sent at a time or later was handled as only
// the older manifest allows.
func judgeEra(b *bench, c *consumer, replicas []*plainReplica, from time.Time) (broken bool) {
	ranBy := make(map[string]string)
	for _, p := range replicas {
		p.mu.Lock()
		for _, r := range p.runs {
			ranBy[r.id] = p.service
		}
		p.mu.Unlock()
	}
	judged, served := 0, 0
	bad := make(map[string]int)
	for _, sent := range c.all() {
		if sent.sentAt.Before(from) {
			continue
		}
		judged++
		service := ranBy[sent.id]
		switch {
		case sent.kind == "key removed" && service != "":
			bad["run with a removed key at "+sent.entry]++
		case sent.kind == "route moved" && service == "posta":
			bad["run by the old service at "+sent.entry]++
		case sent.status == 200:
			served++
		}
	}
	b.record.say("judge", "%d requests sent from %.1f s on, %d served properly", judged, from.Sub(b.record.start).Seconds(), served)
	for what, count := range bad {
		b.record.say("judge", "CONFIG: %d requests %s", count, what)
	}
	return len(bad) > 0
}
