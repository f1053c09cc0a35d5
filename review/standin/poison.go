//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

// The parts of prompts: the first part of the letters from Mwanza, the part that crashes
// replicas, and that of all other letters.
const (
	partMwanza = "5c1e07a2"
	partPoison = "91bd3f06"
	partOther  = "0a0b0c0d"
)

const (
	// poisonFrom is when requests with the part that crashes replicas begin to come.
	poisonFrom = 12200 * time.Millisecond
	poisonEnd  = 44 * time.Second
	poisonGap  = 2 * time.Second
	// poisonStep is the time between the first requests with the part at two machines.
	poisonStep = 8 * time.Millisecond
	// enoughOfEach is how many requests the rule wants, in and outside the disruption.
	enoughOfEach = 20
	engineDown   = 3 * time.Second
)

// playPoison: one part of prompts crashes the replicas that begin to answer it. Sound requests
// share its first part; their consumers are all in the zone with one entry.
func playPoison(b *bench) (bool, error) {
	const entries, engines, mwanza = 5, 11, 5
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := startModelFleet(ctx, b, entries, engines)
	if err != nil {
		return false, err
	}
	for _, e := range f.engines {
		e.poison, e.downFor = partPoison, engineDown
	}
	began := time.Now()
	traffic, stop := context.WithDeadline(ctx, began.Add(poisonEnd))
	defer stop()
	var number int
	var mu sync.Mutex
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
			f.consumer.repeat(traffic, 100*time.Millisecond, func() request { return letter("other", entry, partOther+":40") })
		})
	}
	open.Go(func() {
		f.consumer.repeat(traffic, 400*time.Millisecond, func() request { return letter("sound", mwanza, partMwanza+":40") })
	})
	for entry := 1; b.trouble && entry <= entries; entry++ {
		open.Go(func() {
			time.Sleep(time.Until(began.Add(poisonFrom - poisonGap + time.Duration(entry-1)*poisonStep)))
			f.consumer.repeat(traffic, poisonGap, func() request { return letter("poison", entry, partMwanza+":40,"+partPoison+":60") })
		})
	}
	open.Wait()
	return judgePoison(b, f, began)
}

// judgePoison compares how often sound requests with the first part begin at the first
// attempt, before the disruption and from 2 x stable_ms after the fifth crash, or the last.
func judgePoison(b *bench, f *modelFleet, began time.Time) (bool, error) {
	runs := make(map[string]bool)
	var crashes []time.Time
	for _, e := range f.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			runs[r.id] = true
		}
		crashes = append(crashes, e.crashes...)
		e.mu.Unlock()
	}
	from := began.Add(poisonFrom)
	for _, at := range firstFive(crashes) {
		if later := at.Add(2 * stable); later.After(from) {
			from = later
		}
	}
	var before, beforeBegun, within, withinBegun int
	for _, sent := range f.consumer.all() {
		if sent.kind != "sound" {
			continue
		}
		begun := runs[sent.id] && sent.status == 200
		switch {
		case sent.sentAt.Before(began.Add(poisonFrom)):
			before++
			if begun {
				beforeBegun++
			}
		case sent.sentAt.After(from):
			within++
			if begun {
				withinBegun++
			}
		}
	}
	b.record.say("judge", "%d crashes; sound requests with the first part: before the disruption %d of %d begun, from %.1f s on %d of %d", len(crashes), beforeBegun, before, from.Sub(b.record.start).Seconds(), withinBegun, within)
	if before < enoughOfEach || within < enoughOfEach {
		return false, fmt.Errorf("fewer than %d requests of each", enoughOfEach)
	}
	broken := float64(withinBegun)/float64(within) < float64(beforeBegun)/float64(before)/2
	if broken {
		b.record.say("judge", "LOST: sound requests begin less than half as often")
	}
	return broken, nil
}
