//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	graceTime    = 8 * time.Second // grace_s
	routeTimeout = 6 * time.Second // timeout_ms of streams, and the consumers' deadline
	// endEvents is the length of an answer, an event each endEventGap.
	endEvents   = 24
	endEventGap = 60 * time.Millisecond
	// endSilence is for how long a replica is silent before it ends an answer, each endSilentEach-th.
	endSilence    = 1200 * time.Millisecond
	endSilentEach = 4
	// endTime is how long streams are sent, each endPause; endFirstStop is when the first entry is
	// stopped, and the others follow each endStopGap.
	endTime      = 70 * time.Second
	endPause     = 100 * time.Millisecond
	endFirstStop = 5 * time.Second
	endStopGap   = 14 * time.Second
)

// endCase counts streams that are cut at entries that stop as planned.
type endCase struct {
	record *record
	// trouble makes replicas fall silent.
	trouble bool
	served  atomic.Int64

	mu sync.Mutex
	// stoppedAt holds when each entry got SIGTERM last, isDown which ones get no new consumers.
	stoppedAt map[int]time.Time
	isDown    map[int]bool
	whole     int
	// lost counts the cut answers that the rule counts, others those at other entries or times.
	lost, others int
}

// serve answers a request with all its events, and may fall silent before it ends the answer.
func (c *endCase) serve(x *replica, w http.ResponseWriter, r *http.Request, _ []byte) {
	id, attempt := x.currentID(), r.Header.Get("Snipestep-Attempt-Id")
	c.record.line("replica %s runs %s from event %d on", id, attempt, nextEvent(r))
	x.stream(w, r, endEvents, endEventGap)
	if c.trouble && nextEvent(r) <= endEvents && c.served.Add(1)%endSilentEach == 0 {
		c.record.line("replica %s has sent all events of %s and is silent", id, attempt)
		select {
		case <-r.Context().Done():
			c.record.line("replica %s: the connection of %s is closed", id, attempt)
			return
		case <-time.After(endSilence):
		}
	}
	c.record.line("replica %s ends the answer to %s", id, attempt)
}

// send sends one stream at an entry that takes consumers, and judges its end.
func (c *endCase) send(f *fleet, i int) {
	entry := i % len(f.entries)
	c.mu.Lock()
	for c.isDown[entry] {
		entry = (entry + 1) % len(f.entries)
	}
	c.mu.Unlock()
	a := call(f.entries[entry], http.MethodPost, streamPrefix+"2f", fmt.Appendf(nil, "prompt %d", i), routeTimeout, map[string]string{
		"Snipestep-Model": modelID, "Snipestep-Token-Usage": "600,144",
		"Snipestep-Prefix-Hash": fmt.Sprintf("50ee%04x:40,%08x:560", i%60, 0x10000+i),
	})
	endedAt := time.Now()
	events, _ := lastEvent(a.body)
	c.record.line("entry %d: %s, %d events", entry+1, a.text(), events)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.err == nil && events == endEvents {
		c.whole++
		return
	}
	if events == 0 {
		return // It was not passed on, or has got no part of an answer.
	}
	stopped, sinceStop := c.stoppedAt[entry], endedAt.Sub(c.stoppedAt[entry])
	if stopped.IsZero() || sinceStop < 0 || sinceStop >= graceTime*5/6 || a.took >= routeTimeout {
		c.others++
		return
	}
	c.lost++
	c.record.line("LOST: the answer to %s is cut %d ms after the SIGTERM of its entry", a.attempt, sinceStop.Milliseconds())
}

// stopEntry stops an entry as planned, and starts it again once it has ended.
func (c *endCase) stopEntry(f *fleet, i int) error {
	entry := f.entries[i]
	c.mu.Lock()
	c.stoppedAt[i], c.isDown[i] = time.Now(), true
	c.mu.Unlock()
	c.record.line("entry %d gets SIGTERM", i+1)
	if err := entry.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-entry.exited:
	case <-time.After(graceTime):
		entry.kill()
	}
	c.record.line("entry %d has ended", i+1)
	if err := entry.start(f.logs[len(f.agents)+i]); err != nil {
		return err
	}
	if err := entry.awaitReady(5 * time.Second); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDown[i] = false
	return nil
}

// silentEnd: entries are stopped in turn while replicas fall silent before the end of answers.
func silentEnd(rec *record, trouble bool) (int, error) {
	c := &endCase{record: rec, trouble: trouble, stoppedAt: make(map[int]time.Time), isDown: make(map[int]bool)}
	f, err := startFleet(rec, 5, 9, 0, c.serve, nil)
	defer f.stop()
	if err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second) // The machines are in touch.
	begin := time.Now()
	stops := make(chan error, 1)
	go func() {
		for i := range f.entries {
			time.Sleep(time.Until(begin.Add(endFirstStop + time.Duration(i)*endStopGap)))
			if err := c.stopEntry(f, i); err != nil {
				stops <- err
				return
			}
		}
		stops <- nil
	}()
	var streams sync.WaitGroup
	for i := 0; time.Since(begin) < endTime; i++ {
		streams.Go(func() { c.send(f, i) })
		time.Sleep(endPause)
	}
	streams.Wait()
	if err := <-stops; err != nil {
		return notRun, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.say("%d streams served whole; %d lost at an entry that was stopped as planned, %d cut at other entries or times", c.whole, c.lost, c.others)
	if c.whole == 0 {
		return notRun, errNothingServed
	}
	if c.lost > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
