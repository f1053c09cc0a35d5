package main

import (
	"os"
	"runtime/debug"

	"github.com/snipestep/snipestep/settings"
)

const (
	mebibyte = 1 << 20
	// baseMemoryMiB is the memory of an entry beside what callers make it hold: 32 MiB for answers
	// and 20 MiB for the rest. Entries of known deployments take up to 54 MB in all.
	baseMemoryMiB = 52
)

// limitMemory lets the garbage collector run more often once an entry takes more memory than its
// budgets add up to. Without the limit the collector lets the heap double first. A limit in the
// environment (GOMEMLIMIT) goes first.
func limitMemory(s *settings.Direct) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(baseMemoryMiB+s.CallersMiB) * mebibyte)
	}
}
