//go:build review2

// Command standin-2 runs the scripts of the second review: stand-ins of the platform, the replicas and
// the consumers, and the project's own programs as separate processes beside them.
//
// Usage: standin-2 CASE FOLDER. It writes FOLDER/record.txt, and exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// longestRun is when a case is given up on.
const longestRun = 112 * time.Second

// errNothingServed reports a fleet that served no request at all.
var errNothingServed = errors.New("no request was served")

func main() {
	cases := map[string]func(*record, bool) (int, error){
		"crash-after-event":   crashAfterEvent,
		"crash-light-traffic": crashInLightTraffic,
		"held-requests":       heldRequests,
		"leave":               leave,
		"silent-end":          silentEnd,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(notRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	sent = rec
	lock, err := takeBlock()
	if err != nil {
		rec.say("the case could not run: %v", err)
		os.Exit(notRun)
	}
	time.AfterFunc(longestRun, func() {
		stopAll()
		rec.say("the case took longer than %v", longestRun)
		os.Exit(notRun)
	})
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = notRun
	}
	_ = lock.Close()
	os.Exit(code)
}
