// Package load is an open-loop load generator: it sends model calls and purchases
// over HTTP at seeded times, whether or not earlier ones were answered, and
// checks the complete text of each response.
package load
