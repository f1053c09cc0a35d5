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

func init() { cases["switch"] = playSwitch }

const (
	switchDeclared = 6 * time.Second
	switchEnd      = 24 * time.Second
	// switchInterval is the time between two streams at each of two entries: 32 places are
	// taken for 4.7 s each.
	switchInterval = 300 * time.Millisecond
)

// playSwitch: an entry is stopped as planned while the first replica changes to new weights.
func playSwitch(b *bench) (bool, error) {
	const entries, engines = 2, 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := startModelFleet(ctx, b, entries, engines)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var stoppedAt time.Time
	for _, e := range f.engines {
		e.eventGap, e.asAsked = preemptGap, true
		e.onStagePut = func(count int) {
			mu.Lock()
			defer mu.Unlock()
			if count != 1 || !b.trouble || !stoppedAt.IsZero() {
				return
			}
			stoppedAt = time.Now()
			b.record.say(e.id, "is the first to get the new weights")
			for _, p := range b.processes {
				if p.machine.name == "edge-1" {
					_ = p.signal(syscall.SIGTERM)
					b.record.say("edge-1", "gets SIGTERM")
				}
			}
		}
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	if b.trouble {
		time.AfterFunc(switchDeclared, func() { f.declare(b, 2) })
	}
	traffic, stop := context.WithDeadline(ctx, began.Add(switchEnd))
	defer stop()
	var open sync.WaitGroup
	for entry := 1; entry <= entries; entry++ {
		open.Go(func() {
			time.Sleep(time.Duration(entry) * switchInterval / entries)
			f.consumer.repeat(traffic, switchInterval, func() request {
				r := b.letter(entry)
				r.kind, r.path = "reply", "/reply/1"
				r.header["Snipestep-Token-Usage"] = fmt.Sprintf("300,%d", longEvents*tokensPerEvent)
				r.header["Snipestep-Length-Hint"] = fmt.Sprint(longEvents * tokensPerEvent)
				return r
			})
		})
	}
	open.Wait()
	return judgeSwitch(b, f, stoppedAt)
}

// judgeSwitch reports whether requests that were passed on to a replica got no complete answer,
// around the planned stop of their entry.
func judgeSwitch(b *bench, f *modelFleet, stoppedAt time.Time) (bool, error) {
	if b.trouble && stoppedAt.IsZero() {
		return false, fmt.Errorf("no replica got the new weights\n%s", b.log("side-1"))
	}
	lost, others := 0, 0
	for _, sent := range f.consumer.all() {
		events := strings.Count(sent.body, "id: ")
		if sent.err == nil || events == 0 {
			continue
		}
		b.record.say("judge", "%s at %s: status %d, %d events, then %v, %.2f s after it was sent, %.2f s after the stop", sent.id, sent.entry, sent.status, events, sent.err, sent.endedAt.Sub(sent.sentAt).Seconds(), sent.endedAt.Sub(stoppedAt).Seconds())
		excused := sent.entry != b.address(1, 1, callerPort) || sent.endedAt.Before(stoppedAt) || sent.endedAt.After(stoppedAt.Add(grace*5/6)) || sent.endedAt.Sub(sent.sentAt) >= 6*time.Second
		if excused {
			others++
		} else {
			lost++
		}
	}
	b.record.say("judge", "LOST: %d connections ended without a complete answer at the entry that stops; %d others broke off", lost, others)
	return lost > 0, nil
}
