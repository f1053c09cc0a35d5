// Package load makes the callers of a run: it sends model calls and purchases
// over HTTP at seeded times, whether or not earlier ones were answered, and
// checks each answer whole.
package load
