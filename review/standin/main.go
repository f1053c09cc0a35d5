//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs; a script may run for 120 s.
const caseTimeout = 110 * time.Second

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*bench) (broken bool, err error){}

// The main goroutine stays on the main thread, which starts all programs.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(play func(*bench) (bool, error), folder string) int {
	b, err := newBench(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		b.close()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(caseTimeout, func() {
		b.close()
		os.Exit(exitNotRun)
	})
	broken, err := play(b)
	if err == nil {
		err = b.checkRunning()
	}
	switch {
	case err != nil:
		b.record.say("result", "could not run: %v", err)
		return exitNotRun
	case broken:
		b.record.say("result", "BROKEN")
		return exitBroken
	default:
		b.record.say("result", "held")
		return exitHeld
	}
}
