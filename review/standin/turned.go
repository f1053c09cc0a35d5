//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["turned"] = func(b *bench) (bool, error) { return playTurned(b, 2) }
	cases["fresh"] = func(b *bench) (bool, error) { return playTurned(b, 1) }
}

const (
	// trafficAfter is how long after the machines the traffic starts.
	trafficAfter   = 10 * time.Second
	turnedDeclared = 5 * time.Second
	turnedEnd      = 45 * time.Second
	// soundGap and turnedGap make one request in 21 one with the part, of 35 a second.
	soundGap  = 150 * time.Millisecond
	turnedGap = 20 * soundGap
	// mostAfterFifth is how many requests with a part that crashes replicas may still reach
	// them later than stable_ms after the fifth crash.
	mostAfterFifth = 3
)

// playTurned: from a version of the weights on, one part of prompts crashes each replica that
// begins to answer it. The part was sound on the weights before.
func playTurned(b *bench, poisonVersion int) (bool, error) {
	const entries, engines = 5, 11
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := startModelFleet(ctx, b, entries, engines)
	if err != nil {
		return false, err
	}
	for _, e := range f.engines {
		e.downFor, e.poisonVersion = engineDown, poisonVersion
		if b.trouble {
			e.poison = partPoison
		}
	}
	time.Sleep(trafficAfter)
	began := time.Now()
	traffic, stop := context.WithDeadline(ctx, began.Add(turnedEnd))
	defer stop()
	if poisonVersion > 1 {
		time.AfterFunc(turnedDeclared, func() { f.declare(b, 2) })
	}
	var mu sync.Mutex
	number := 0
	letter := func(kind string, entry int, parts string) request {
		mu.Lock()
		defer mu.Unlock()
		number++
		r := b.letter(entry)
		r.kind = kind
		r.body = fmt.Sprint("write letter ", number)
		r.header["Snipestep-Prefix-Hash"] = fmt.Sprintf("%s,%08x:220", parts, number)
		return r
	}
	var open sync.WaitGroup
	for entry := 1; entry <= entries; entry++ {
		open.Go(func() {
			f.consumer.repeat(traffic, soundGap, func() request { return letter("sound", entry, partOther+":40") })
		})
		open.Go(func() {
			time.Sleep(time.Duration(entry-1) * turnedGap / entries)
			f.consumer.repeat(traffic, turnedGap, func() request { return letter("poison", entry, partPoison+":40") })
		})
	}
	open.Wait()
	return judgeTurned(b, f)
}

// judgeTurned counts the requests with the part that reached replicas and were sent later than
// stable_ms after the fifth crash.
func judgeTurned(b *bench, f *modelFleet) (bool, error) {
	var crashes []time.Time
	runs := make(map[string]int)
	for _, e := range f.engines {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		for _, r := range e.runs {
			runs[r.id]++
		}
		e.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	sound, answered, lost := 0, 0, 0
	for _, sent := range f.consumer.all() {
		if sent.kind == "sound" && sent.status == 200 && sent.err != nil {
			lost++
		}
	}
	from := b.record.start.Add(trafficAfter + turnedDeclared)
	if len(crashes) >= 5 {
		from = crashes[4].Add(stable)
	}
	reached := 0
	for _, sent := range f.consumer.all() {
		if sent.sentAt.Before(from) {
			continue
		}
		switch sent.kind {
		case "poison":
			if runs[sent.id] > 0 && len(crashes) >= 5 {
				reached++
			}
		default:
			sound++
			if sent.status == 200 && sent.err == nil {
				answered++
			}
		}
	}
	b.record.say("judge", "%d crashes; from %.1f s on %d requests with the part reached replicas (%d allowed); of %d sound requests sent since %d were answered to their end; in the whole play %d sound streams had begun and broke off", len(crashes), from.Sub(b.record.start).Seconds(), reached, mostAfterFifth, sound, answered, lost)
	if reached > mostAfterFifth {
		b.record.say("judge", "BUDGET: requests with the part go on reaching replicas")
	}
	return reached > mostAfterFifth, nil
}
