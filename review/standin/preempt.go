//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["preempt"] = playPreempt }

const (
	preemptGap = 85 * time.Millisecond
	// longEvents and shortEvents are the lengths of the letters: 4.7 s and 2.1 s.
	longEvents  = 55
	shortEvents = 25
	// preemptPause is shorter than the 3.2 s after which a consumer of this route leaves: four
	// times its objective of 800 ms.
	preemptPause = 2900 * time.Millisecond
	grace        = 8 * time.Second
)

// playPreempt: an entry is stopped as planned while a stream is preempted for want of memory
// and the other replica is full.
func playPreempt(b *bench) (bool, error) {
	const entries, engines = 2, 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := startModelFleet(ctx, b, entries, engines)
	if err != nil {
		return false, err
	}
	for _, e := range f.engines {
		e.eventGap, e.asAsked = preemptGap, true
	}
	time.Sleep(3 * time.Second)
	letter := func(kind string, events int) request {
		r := b.letter(1)
		r.kind = kind
		r.path = "/reply/1"
		r.header["Snipestep-Token-Usage"] = fmt.Sprintf("300,%d", events*tokensPerEvent)
		r.header["Snipestep-Length-Hint"] = fmt.Sprint(events * tokensPerEvent)
		return r
	}
	var open sync.WaitGroup
	send := func(kind string, events int) {
		open.Go(func() { f.consumer.send(ctx, letter(kind, events)) })
	}
	for range engines*engineSlots - 1 {
		send("long", longEvents)
		time.Sleep(8 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	send("short", shortEvents)
	time.Sleep(400 * time.Millisecond)
	stoppedAt := time.Now()
	if b.trouble {
		for _, p := range b.processes {
			if p.machine.name == "edge-1" {
				_ = p.signal(syscall.SIGTERM)
				b.record.say("edge-1", "gets SIGTERM")
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	for _, e := range f.engines {
		e.mu.Lock()
		last := e.newest[len(e.newest)-1].id
		e.mu.Unlock()
		if last == fmt.Sprintf("%016x", engines*engineSlots) && b.trouble {
			e.preemptNewest(1, preemptPause)
		}
	}
	open.Wait()
	return judgePreempt(b, f, stoppedAt)
}

// judgePreempt reports whether a request that was passed on to a replica got no complete
// answer, around the planned stop of its entry.
func judgePreempt(b *bench, f *modelFleet, stoppedAt time.Time) (bool, error) {
	broken := 0
	for _, sent := range f.consumer.all() {
		events := strings.Count(sent.body, "id: ")
		if sent.err == nil {
			continue
		}
		b.record.say("judge", "%s (%s): status %d, %d events, then %v, %.2f s after it was sent, %.2f s after the stop of its entry", sent.id, sent.kind, sent.status, events, sent.err, sent.endedAt.Sub(sent.sentAt).Seconds(), sent.endedAt.Sub(stoppedAt).Seconds())
		if b.trouble && sent.endedAt.Before(stoppedAt.Add(grace*5/6)) && sent.endedAt.Sub(sent.sentAt) < 6*time.Second {
			broken++
		}
	}
	if broken > 0 {
		b.record.say("judge", "LOST: %d connections ended without a complete answer", broken)
	}
	return broken > 0, nil
}
