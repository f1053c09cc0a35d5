//go:build review

package main

import (
	"slices"
	"time"
)

// firstFive returns the first five times.
func firstFive(times []time.Time) []time.Time {
	sorted := slices.Clone(times)
	slices.SortFunc(sorted, time.Time.Compare)
	return sorted[:min(len(sorted), 5)]
}
