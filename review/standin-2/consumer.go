//go:build review2

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the consumer attempts.
var attempts atomic.Int64

// sent is the record of what consumers send.
var sent *record

func newAttemptID() string {
	return fmt.Sprintf("%016x", 0x1c41d07be2a30000+attempts.Add(1))
}

// answer is what a consumer got.
type answer struct {
	attempt    string
	status     int
	header     http.Header
	body       []byte
	err        error
	took       time.Duration
	retryAfter string
}

// text returns the answer for the record.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("%s gets %d, %d bytes, %v after %d ms", a.attempt, a.status, len(a.body), a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("%s gets %d, %d bytes, Retry-After %q after %d ms", a.attempt, a.status, len(a.body), a.retryAfter, a.took.Milliseconds())
}

// call sends one request on a connection of its own.
func call(entry *program, method, path string, body []byte, deadline time.Duration, header map[string]string) answer {
	return callWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}, entry, method, path, body, deadline, header)
}

func callWith(client *http.Client, entry *program, method, path string, body []byte, deadline time.Duration, header map[string]string) answer {
	a := answer{attempt: newAttemptID()}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.http+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = routeHost
	request.Header.Set("Snipestep-Attempt-Id", a.attempt)
	request.Header.Set("Snipestep-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	sent.line("a consumer sends %s %s%s to %s as %s, part list %q", method, routeHost, path, entry.http, a.attempt, header["Snipestep-Prefix-Hash"])
	response, err := client.Do(request)
	if err != nil {
		a.err, a.took = err, time.Since(began)
		return a
	}
	defer response.Body.Close()
	a.status, a.header, a.retryAfter = response.StatusCode, response.Header, response.Header.Get("Retry-After")
	a.body, a.err = io.ReadAll(response.Body)
	a.took = time.Since(began)
	return a
}

// lastEvent returns the number of events of a stream and the last ID.
func lastEvent(body []byte) (events int, last string) {
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			events++
			last = id
		}
	}
	return events, last
}
