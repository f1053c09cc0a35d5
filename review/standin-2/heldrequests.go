//go:build review2

package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heldFiles is max_fds of an edge machine.
	heldFiles = 4100
	// heldClients is how many clients outside of the users' control connect to one entry.
	heldClients = 3200
	// heldRequest is a request of legal size with an odd header line: the byte that it promises
	// never comes. Its host is unknown, so that it needs no key.
	heldRequest = "GET /nowhere/ HTTP/1.1\r\nHost: other.example\r\nContent-Length: 1\r\n\r\n"
	// heldTime is how long the ordinary consumers try, heldConsumers of them, each after heldPause.
	heldTime      = 12 * time.Second
	heldConsumers = 8
	heldPause     = 200 * time.Millisecond
	// triersNeeded is the number of consumers that have to try, by the rule.
	triersNeeded = 7
)

// heldCase measures for how long an entry takes no new connection.
type heldCase struct {
	record *record

	mu sync.Mutex
	// since is when the present stretch without an answer began, and tried who tried in it.
	since   time.Time
	tried   map[int]bool
	longest time.Duration
	// answered and turnedAway count the tries of consumers.
	answered, turnedAway int
}

// end ends a stretch without an answer.
func (h *heldCase) end(now time.Time) {
	if len(h.tried) >= triersNeeded {
		h.longest = max(h.longest, now.Sub(h.since))
	}
	h.since, h.tried = now, make(map[int]bool)
}

// try sends one request of an ordinary consumer on a new connection.
func (h *heldCase) try(consumer int, entry *program) {
	a := call(entry, http.MethodGet, plainPrefix+"x", nil, 1500*time.Millisecond, nil)
	h.record.line("consumer %d: %s", consumer, a.text())
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.status != 0 {
		h.answered++
		h.end(time.Now())
		return
	}
	h.turnedAway++
	h.tried[consumer] = true
}

// watchReadiness asks for the readiness each second, as the platform does. An entry that is not ready
// ends a stretch.
func (h *heldCase) watchReadiness(entry *program, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		ready := entry.awaitReady(time.Second) == nil
		h.record.line("the entry says that it is ready: %t", ready)
		if !ready {
			h.mu.Lock()
			h.end(time.Now())
			h.mu.Unlock()
		}
	}
}

// connectHolders opens the connections of the clients that we don't control.
func connectHolders(entry *program) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var connecting sync.WaitGroup
	slots := make(chan struct{}, 64)
	for range heldClients {
		connecting.Go(func() {
			slots <- struct{}{}
			conn, err := net.DialTimeout("tcp", entry.http, 2*time.Second)
			<-slots
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, heldRequest)
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, conn)
		})
	}
	connecting.Wait()
	return conns
}

// heldRequests: clients hold their connections with requests that are refused and never complete.
func heldRequests(rec *record, trouble bool) (int, error) {
	h := &heldCase{record: rec, tried: make(map[int]bool)}
	serve := func(x *replica, w http.ResponseWriter, r *http.Request, _ []byte) {
		w.Header().Set("Snipestep-Server-Seal", "seal."+x.currentID())
		_, _ = io.WriteString(w, "served "+r.Header.Get("Snipestep-Attempt-Id"))
	}
	f, err := startFleet(rec, 5, 3, 3, serve, serve)
	defer f.stop()
	if err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second) // The machines are in touch.
	entry := f.entries[0]
	if trouble {
		conns := connectHolders(entry)
		defer func() {
			for _, conn := range conns {
				_ = conn.Close()
			}
		}()
		rec.line("%d clients hold a connection each", len(conns))
		if len(conns) < heldClients {
			rec.say("only %d of %d clients could connect", len(conns), heldClients)
		}
		time.Sleep(500 * time.Millisecond)
	}
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	h.since = time.Now()
	for i := range heldConsumers {
		consumers.Go(func() {
			for end := time.Now().Add(heldTime); time.Now().Before(end); time.Sleep(heldPause) {
				h.try(i, entry)
			}
		})
	}
	go h.watchReadiness(entry, stop)
	consumers.Wait()
	close(stop)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end(time.Now())
	rec.say("%d tries of consumers answered, %d not; the entry said that it was ready and took no new connection for up to %d ms", h.answered, h.turnedAway, h.longest.Milliseconds())
	if !trouble && h.answered == 0 {
		return notRun, errNothingServed
	}
	if h.longest >= stableTime {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
