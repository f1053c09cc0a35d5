// Package rapidseed fixes the seed of property tests, so that a usual run
// draws the same cases each time.
package rapidseed
