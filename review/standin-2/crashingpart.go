//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stableTime = 3 * time.Second // stable_ms
	// commonPart begins all prompts, deadlyPart follows it in those that crash replicas.
	commonPart = "5c1e07a2:40"
	deadlyPart = "dead0001:40"
	// deadlyDown is how long a replica is down after a crash.
	deadlyDown = 3 * time.Second
	// deadlyEvents is the length of a sound answer, an event each deadlyEventGap.
	deadlyEvents   = 24
	deadlyEventGap = 15 * time.Millisecond
	// deadlyTime is how long requests are sent, deadlyGap the pause between those with the part.
	deadlyTime = 45 * time.Second
	deadlyGap  = time.Second
)

// crashAfterEvent: the replica crashes after the first event of an answer on the part.
func crashAfterEvent(rec *record, trouble bool) (int, error) {
	d := &deadlyCase{record: rec, prefix: commonPart + ",", afterEvent: true, soundGap: 30 * time.Millisecond, deadlyAfter: 5 * time.Second}
	return d.run(trouble)
}

// crashInLightTraffic: the replica crashes before the first event, and few requests come.
func crashInLightTraffic(rec *record, trouble bool) (int, error) {
	d := &deadlyCase{record: rec, soundGap: 500 * time.Millisecond, deadlyAfter: time.Second}
	return d.run(trouble)
}

// deadlyCase counts the crashes by a part of prompts.
type deadlyCase struct {
	record *record
	// prefix is what all prompts begin with.
	prefix string
	// afterEvent says that a replica crashes after an event, not before the first one.
	afterEvent bool
	// soundGap is the pause between sound requests, deadlyAfter when the others begin.
	soundGap, deadlyAfter time.Duration

	mu sync.Mutex
	// reached holds the times at which requests with the part reached a replica, and crashes those
	// at which one crashed.
	reached, crashes []time.Time
	served, sound    int
}

// serve answers a request. One with the deadly part crashes the replica as it has begun to write.
func (d *deadlyCase) serve(x *replica, w http.ResponseWriter, r *http.Request, _ []byte) {
	isDeadly := strings.Contains(r.Header.Get("Snipestep-Prefix-Hash"), deadlyPart)
	if isDeadly {
		d.mu.Lock()
		d.reached = append(d.reached, time.Now())
		d.record.line("request %s with the part reaches replica %s, as number %d", r.Header.Get("Snipestep-Attempt-Id"), x.currentID(), len(d.reached))
		d.mu.Unlock()
	}
	time.Sleep(40 * time.Millisecond)
	if !isDeadly {
		x.stream(w, r, deadlyEvents, deadlyEventGap)
		return
	}
	if d.afterEvent {
		x.stream(w, r, nextEvent(r), deadlyEventGap)
	}
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.record.line("replica %s begins to write the answer to %s and crashes, crash %d", x.currentID(), r.Header.Get("Snipestep-Attempt-Id"), len(d.crashes))
	d.mu.Unlock()
	x.crash()
	time.AfterFunc(deadlyDown, func() {
		if err := x.start(); err != nil {
			d.record.say("a replica does not start again: %v", err)
		}
	})
}

// send sends one request at an entry.
func (d *deadlyCase) send(entry *program, i int, part string) {
	a := call(entry, http.MethodPost, streamPrefix+"2f", fmt.Appendf(nil, "prompt %d", i), 6*time.Second, map[string]string{
		"Snipestep-Model": modelID, "Snipestep-Token-Usage": "600,80",
		"Snipestep-Prefix-Hash": fmt.Sprintf("%s%s,%08x:520", d.prefix, part, 0x10000+i),
	})
	events, _ := lastEvent(a.body)
	d.record.line("part %s: %s, %d events", part, a.text(), events)
	if part == deadlyPart {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sound++
	if a.err == nil && events == deadlyEvents {
		d.served++
	}
}

// late returns how many requests with the part reached a replica later than stable_ms after the fifth
// crash.
func (d *deadlyCase) late() int {
	const crashesBefore = 5
	if len(d.crashes) < crashesBefore {
		return 0
	}
	late := 0
	for _, at := range d.reached {
		if at.After(d.crashes[crashesBefore-1].Add(stableTime)) {
			late++
		}
	}
	return late
}

// run sends sound requests, and with trouble others with the part.
func (d *deadlyCase) run(trouble bool) (int, error) {
	f, err := startFleet(d.record, 5, 9, 0, d.serve, nil)
	defer f.stop()
	if err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second) // The machines are in touch.
	var sending sync.WaitGroup
	begin := time.Now()
	sendEach := func(first time.Time, gap time.Duration, part func(i int) string, offset int) {
		for i, at := 0, first; at.Sub(begin) < deadlyTime; i, at = i+1, at.Add(gap) {
			time.Sleep(time.Until(at))
			sending.Go(func() { d.send(f.entries[i%len(f.entries)], offset+i, part(i)) })
		}
	}
	if trouble {
		sending.Go(func() {
			sendEach(begin.Add(d.deadlyAfter), deadlyGap, func(int) string { return deadlyPart }, 1<<20)
		})
	}
	sendEach(begin, d.soundGap, func(i int) string { return fmt.Sprintf("50ee%04x:40", i%60) }, 0)
	sending.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	late := d.late()
	d.record.say("%d of %d sound requests served whole; %d requests with the part reached replicas, %d of them later than stable_ms after the fifth crash", d.served, d.sound, len(d.reached), late)
	if d.served == 0 {
		return notRun, errNothingServed
	}
	if late > 3 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
