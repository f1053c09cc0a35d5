//go:build review2

package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime = 2000 * time.Millisecond // drain_ms
	// leaveLinger is how long a replica serves on after its record was removed: drain_ms and a
	// little longer.
	leaveLinger = drainTime + 200*time.Millisecond
	// leaveRounds is how many replicas leave, one after the other.
	leaveRounds = 8
	// leaveWork is how long a request runs.
	leaveWork = 60 * time.Millisecond
	// leaveConsumers send requests that are not idempotent, each leavePause after the last answer.
	leaveConsumers = 20
	leavePause     = 80 * time.Millisecond
)

// leaveCase counts what replicas that leave get.
type leaveCase struct {
	record *record

	mu        sync.Mutex
	removedAt map[string]time.Time // By replica ID.
	late      int
	// answered, lost and refused count what consumers got: 200, 502 or a cut answer, or else.
	answered, lost, refused int
}

// serve runs a request, and counts one that reaches a replica later than drain_ms after its removal.
func (l *leaveCase) serve(x *replica, w http.ResponseWriter, r *http.Request, _ []byte) {
	attempt := r.Header.Get("Snipestep-Attempt-Id")
	id := x.currentID()
	l.mu.Lock()
	if at, removed := l.removedAt[id]; removed && time.Since(at) > drainTime {
		l.late++
		l.record.line("replica %s, whose removal was confirmed %d ms ago, gets and runs %s", id, time.Since(at).Milliseconds(), attempt)
	}
	l.mu.Unlock()
	time.Sleep(leaveWork)
	w.Header().Set("Snipestep-Server-Seal", "seal."+id)
	_, _ = io.WriteString(w, "served "+attempt)
}

// consume sends requests on one connection until stop is closed.
func (l *leaveCase) consume(entry *program, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(leavePause):
		}
		a := callWith(client, entry, http.MethodPost, unsafePrefix+"buy", []byte("order"), 1500*time.Millisecond, nil)
		l.record.line("%s", a.text())
		l.mu.Lock()
		switch {
		case a.status == http.StatusOK && a.err == nil:
			l.answered++
		case a.status == http.StatusBadGateway || a.err != nil:
			l.lost++
		default:
			l.refused++
		}
		l.mu.Unlock()
	}
}

// leaveReplica removes the record of a replica, which serves on for leaveLinger, exits and starts
// again under another ID. With trouble the store cuts the watches that wait just before.
func (l *leaveCase) leaveReplica(f *fleet, x *replica, trouble bool) error {
	if trouble {
		// An HTTP client may send a call again by itself once, if a kept connection was cut.
		f.store.cutWatches()
		l.record.line("the store cuts the watches that wait")
		time.Sleep(300 * time.Millisecond)
		f.store.cutWatches()
		l.record.line("the store cuts the watches that wait")
		time.Sleep(20 * time.Millisecond)
	}
	id := x.currentID()
	l.mu.Lock()
	f.store.remove("servers/" + id)
	l.removedAt[id] = time.Now()
	l.mu.Unlock()
	l.record.line("the record of replica %s is removed", id)
	time.Sleep(leaveLinger)
	x.exit()
	l.record.line("replica %s exits", id)
	time.Sleep(time.Second)
	if err := x.start(); err != nil {
		return err
	}
	l.record.line("replica %s starts", x.currentID())
	return nil
}

// leave: replicas leave by the removal of their record, just after the store has cut the watches.
func leave(rec *record, trouble bool) (int, error) {
	l := &leaveCase{record: rec, removedAt: make(map[string]time.Time)}
	f, err := startFleet(rec, 5, 3, 3, l.serve, l.serve)
	defer f.stop()
	if err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second) // The machines are in touch.
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for i := range leaveConsumers {
		consumers.Go(func() { l.consume(f.entries[i%len(f.entries)], stop) })
	}
	for round := range leaveRounds {
		time.Sleep(3 * time.Second)
		if err := l.leaveReplica(f, f.plain[round%len(f.plain)], trouble); err != nil {
			return notRun, err
		}
	}
	close(stop)
	consumers.Wait()
	rec.say("%d requests answered, %d lost, %d refused; %d reached a replica later than drain_ms after its removal", l.answered, l.lost, l.refused, l.late)
	if l.answered == 0 {
		return notRun, errNothingServed
	}
	if l.late > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
